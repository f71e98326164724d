use std::sync::Arc;
use trillium::{Conn, Handler, Method};
use trillium_grpc::{
    GrpcServerConn, Prost, Server, ServiceClient, Status, Stream, StreamingConn,
    UnaryConn, prepare_grpc_conn, prost, trillium_client::Client,
};
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct GetStatusRequest {}
#[derive(Clone, PartialEq, prost::Message)]
#[prost(prost_path = "prost")]
pub struct GetStatusResponse {
    #[prost(uint32, tag = "1")]
    pub node: u32,
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    #[prost(bool, tag = "4")]
    pub ready: bool,
    #[prost(bool, tag = "5")]
    pub draining: bool,
    #[prost(uint64, tag = "6")]
    pub configuration_version: u64,
    #[prost(uint64, tag = "7")]
    pub directory_version: u64,
    /// Version of the last configuration refused as invalid; zero if none.
    #[prost(uint64, tag = "8")]
    pub invalid_configuration_version: u64,
    #[prost(uint64, tag = "9")]
    pub open_requests: u64,
    #[prost(uint64, tag = "10")]
    pub running_requests: u64,
    #[prost(message, repeated, tag = "11")]
    pub cells: prost::alloc::vec::Vec<Cell>,
    #[prost(message, repeated, tag = "12")]
    pub peers: prost::alloc::vec::Vec<Peer>,
}
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct Cell {
    #[prost(string, tag = "1")]
    pub cell: prost::alloc::string::String,
    /// Node that holds its queue, as seen from here; zero if none can be named.
    #[prost(uint32, tag = "2")]
    pub holder: u32,
    /// Known only for cells held by the answering node.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    #[prost(uint32, tag = "4")]
    pub running: u32,
    #[prost(uint32, tag = "5")]
    pub waiting: u32,
}
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct Peer {
    #[prost(uint32, tag = "1")]
    pub node: u32,
    /// "reachable", "suspected" or "draining".
    #[prost(string, tag = "2")]
    pub health: prost::alloc::string::String,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ListClassesRequest {}
#[derive(Clone, PartialEq, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ListClassesResponse {
    #[prost(message, repeated, tag = "1")]
    pub classes: prost::alloc::vec::Vec<Class>,
}
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct Class {
    #[prost(string, tag = "1")]
    pub name: prost::alloc::string::String,
    #[prost(uint32, tag = "2")]
    pub tier: u32,
    #[prost(uint64, tag = "3")]
    pub requests: u64,
    #[prost(uint64, tag = "4")]
    pub completed: u64,
    #[prost(uint64, tag = "5")]
    pub refused: u64,
    /// Completed within both targets.
    #[prost(uint64, tag = "6")]
    pub attained: u64,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ListBackEndsRequest {}
#[derive(Clone, PartialEq, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ListBackEndsResponse {
    #[prost(message, repeated, tag = "1")]
    pub back_ends: prost::alloc::vec::Vec<BackEnd>,
}
#[derive(Clone, PartialEq, prost::Message)]
#[prost(prost_path = "prost")]
pub struct BackEnd {
    #[prost(uint32, tag = "1")]
    pub id: u32,
    #[prost(string, tag = "2")]
    pub cell: prost::alloc::string::String,
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// How many times slower than its peers.
    #[prost(double, tag = "4")]
    pub slowness: f64,
    #[prost(bool, tag = "5")]
    pub leaving: bool,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ListTenantsRequest {}
#[derive(Clone, PartialEq, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ListTenantsResponse {
    #[prost(message, repeated, tag = "1")]
    pub tenants: prost::alloc::vec::Vec<TenantUse>,
}
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct TenantUse {
    #[prost(string, tag = "1")]
    pub name: prost::alloc::string::String,
    #[prost(string, tag = "2")]
    pub cell: prost::alloc::string::String,
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Limit of the whole deployment on this pool; zero if none.
    #[prost(uint32, tag = "4")]
    pub concurrency_limit: u32,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct DrainRequest {}
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct DrainResponse {
    #[prost(uint64, tag = "1")]
    pub open_requests: u64,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct UndrainRequest {}
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct UndrainResponse {}
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ExplainRequestRequest {
    /// Name of the request, as given in the header eiderferry-request-id.
    #[prost(string, tag = "1")]
    pub request_id: prost::alloc::string::String,
}
#[derive(Clone, PartialEq, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ExplainRequestResponse {
    #[prost(message, repeated, tag = "1")]
    pub decisions: prost::alloc::vec::Vec<Decision>,
}
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ListDecisionsRequest {
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Only of this class, tenant or step, where given.
    #[prost(string, tag = "2")]
    pub class: prost::alloc::string::String,
    #[prost(string, tag = "3")]
    pub tenant: prost::alloc::string::String,
    #[prost(string, tag = "4")]
    pub step: prost::alloc::string::String,
}
#[derive(Clone, PartialEq, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ListDecisionsResponse {
    #[prost(message, repeated, tag = "1")]
    pub decisions: prost::alloc::vec::Vec<Decision>,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct WatchDecisionsRequest {}
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct Decision {
    #[prost(string, tag = "1")]
    pub request_id: prost::alloc::string::String,
    #[prost(string, tag = "2")]
    pub class: prost::alloc::string::String,
    #[prost(string, tag = "3")]
    pub tenant: prost::alloc::string::String,
    /// Since the start of the node's process.
    #[prost(uint64, tag = "4")]
    pub at_ms: u64,
    /// Name of the step, such as "refused".
    #[prost(string, tag = "5")]
    pub step: prost::alloc::string::String,
    /// For people.
    #[prost(string, tag = "6")]
    pub explanation: prost::alloc::string::String,
}
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ValidateConfigurationRequest {
    /// The document in YAML.
    #[prost(string, tag = "1")]
    pub document: prost::alloc::string::String,
}
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
#[prost(prost_path = "prost")]
pub struct ValidateConfigurationResponse {
    #[prost(bool, tag = "1")]
    pub valid: bool,
    /// What is wrong, where, and what is allowed.
    #[prost(string, tag = "2")]
    pub problems: prost::alloc::string::String,
    /// What would change against the configuration in force.
    #[prost(string, repeated, tag = "3")]
    pub changes: prost::alloc::vec::Vec<prost::alloc::string::String>,
}
pub trait Operator: Send + Sync + 'static {
    fn get_status(
        &self,
        conn: &mut GrpcServerConn,
        request: GetStatusRequest,
    ) -> impl Future<Output = Result<GetStatusResponse, Status>> + Send;
    fn list_classes(
        &self,
        conn: &mut GrpcServerConn,
        request: ListClassesRequest,
    ) -> impl Future<Output = Result<ListClassesResponse, Status>> + Send;
    fn list_back_ends(
        &self,
        conn: &mut GrpcServerConn,
        request: ListBackEndsRequest,
    ) -> impl Future<Output = Result<ListBackEndsResponse, Status>> + Send;
    fn list_tenants(
        &self,
        conn: &mut GrpcServerConn,
        request: ListTenantsRequest,
    ) -> impl Future<Output = Result<ListTenantsResponse, Status>> + Send;
    fn drain(
        &self,
        conn: &mut GrpcServerConn,
        request: DrainRequest,
    ) -> impl Future<Output = Result<DrainResponse, Status>> + Send;
    fn undrain(
        &self,
        conn: &mut GrpcServerConn,
        request: UndrainRequest,
    ) -> impl Future<Output = Result<UndrainResponse, Status>> + Send;
    fn explain_request(
        &self,
        conn: &mut GrpcServerConn,
        request: ExplainRequestRequest,
    ) -> impl Future<Output = Result<ExplainRequestResponse, Status>> + Send;
    fn list_decisions(
        &self,
        conn: &mut GrpcServerConn,
        request: ListDecisionsRequest,
    ) -> impl Future<Output = Result<ListDecisionsResponse, Status>> + Send;
    fn watch_decisions(
        &self,
        conn: &mut GrpcServerConn,
        request: WatchDecisionsRequest,
    ) -> impl Future<
        Output = Result<
            impl Stream<Item = Result<Decision, Status>> + Send + use<Self>,
            Status,
        >,
    > + Send;
    fn validate_configuration(
        &self,
        conn: &mut GrpcServerConn,
        request: ValidateConfigurationRequest,
    ) -> impl Future<Output = Result<ValidateConfigurationResponse, Status>> + Send;
}
pub struct OperatorServer<T>(Arc<T>);
impl<T> OperatorServer<T> {
    pub fn new(inner: T) -> Self {
        Self(Arc::new(inner))
    }
}
#[allow(clippy::enum_variant_names)]
#[derive(Debug, Clone, Copy)]
enum OperatorDispatch {
    GetStatus,
    ListClasses,
    ListBackEnds,
    ListTenants,
    Drain,
    Undrain,
    ExplainRequest,
    ListDecisions,
    WatchDecisions,
    ValidateConfiguration,
}
impl<T: Operator> Handler for OperatorServer<T> {
    async fn run(&self, conn: Conn) -> Conn {
        const PREFIX: &str = "/eiderferry.operator.v1.Operator";
        let Some(method) = conn.path().strip_prefix(PREFIX) else {
            return conn;
        };
        if conn.method() != Method::Post {
            return conn;
        }
        let dispatch = match method {
            "/GetStatus" => OperatorDispatch::GetStatus,
            "/ListClasses" => OperatorDispatch::ListClasses,
            "/ListBackEnds" => OperatorDispatch::ListBackEnds,
            "/ListTenants" => OperatorDispatch::ListTenants,
            "/Drain" => OperatorDispatch::Drain,
            "/Undrain" => OperatorDispatch::Undrain,
            "/ExplainRequest" => OperatorDispatch::ExplainRequest,
            "/ListDecisions" => OperatorDispatch::ListDecisions,
            "/WatchDecisions" => OperatorDispatch::WatchDecisions,
            "/ValidateConfiguration" => OperatorDispatch::ValidateConfiguration,
            _ => return conn,
        };
        let conn = match prepare_grpc_conn(conn, "proto") {
            Ok(c) => c,
            Err(c) => return c,
        };
        let inner = Arc::clone(&self.0);
        match dispatch {
            OperatorDispatch::GetStatus => {
                Prost::unary(
                        conn,
                        async move |grpc, req| inner.get_status(grpc, req).await,
                    )
                    .await
            }
            OperatorDispatch::ListClasses => {
                Prost::unary(
                        conn,
                        async move |grpc, req| inner.list_classes(grpc, req).await,
                    )
                    .await
            }
            OperatorDispatch::ListBackEnds => {
                Prost::unary(
                        conn,
                        async move |grpc, req| inner.list_back_ends(grpc, req).await,
                    )
                    .await
            }
            OperatorDispatch::ListTenants => {
                Prost::unary(
                        conn,
                        async move |grpc, req| inner.list_tenants(grpc, req).await,
                    )
                    .await
            }
            OperatorDispatch::Drain => {
                Prost::unary(conn, async move |grpc, req| inner.drain(grpc, req).await)
                    .await
            }
            OperatorDispatch::Undrain => {
                Prost::unary(conn, async move |grpc, req| inner.undrain(grpc, req).await)
                    .await
            }
            OperatorDispatch::ExplainRequest => {
                Prost::unary(
                        conn,
                        async move |grpc, req| inner.explain_request(grpc, req).await,
                    )
                    .await
            }
            OperatorDispatch::ListDecisions => {
                Prost::unary(
                        conn,
                        async move |grpc, req| inner.list_decisions(grpc, req).await,
                    )
                    .await
            }
            OperatorDispatch::WatchDecisions => {
                Prost::server_streaming(
                        conn,
                        async move |grpc, req| inner.watch_decisions(grpc, req).await,
                    )
                    .await
            }
            OperatorDispatch::ValidateConfiguration => {
                Prost::unary(
                        conn,
                        async move |grpc, req| {
                            inner.validate_configuration(grpc, req).await
                        },
                    )
                    .await
            }
        }
    }
}
pub struct OperatorClient(Client);
impl From<Client> for OperatorClient {
    fn from(client: Client) -> Self {
        Self(
            trillium_grpc::with_service_prefix(client, "eiderferry.operator.v1.Operator"),
        )
    }
}
impl ServiceClient for OperatorClient {
    fn client(&self) -> &Client {
        &self.0
    }
    fn client_mut(&mut self) -> &mut Client {
        &mut self.0
    }
}
impl OperatorClient {
    pub fn get_status(
        &self,
        request: GetStatusRequest,
    ) -> UnaryConn<GetStatusRequest, GetStatusResponse> {
        UnaryConn::unary::<Prost>(&self.0, "GetStatus", request)
    }
    pub fn list_classes(
        &self,
        request: ListClassesRequest,
    ) -> UnaryConn<ListClassesRequest, ListClassesResponse> {
        UnaryConn::unary::<Prost>(&self.0, "ListClasses", request)
    }
    pub fn list_back_ends(
        &self,
        request: ListBackEndsRequest,
    ) -> UnaryConn<ListBackEndsRequest, ListBackEndsResponse> {
        UnaryConn::unary::<Prost>(&self.0, "ListBackEnds", request)
    }
    pub fn list_tenants(
        &self,
        request: ListTenantsRequest,
    ) -> UnaryConn<ListTenantsRequest, ListTenantsResponse> {
        UnaryConn::unary::<Prost>(&self.0, "ListTenants", request)
    }
    pub fn drain(
        &self,
        request: DrainRequest,
    ) -> UnaryConn<DrainRequest, DrainResponse> {
        UnaryConn::unary::<Prost>(&self.0, "Drain", request)
    }
    pub fn undrain(
        &self,
        request: UndrainRequest,
    ) -> UnaryConn<UndrainRequest, UndrainResponse> {
        UnaryConn::unary::<Prost>(&self.0, "Undrain", request)
    }
    pub fn explain_request(
        &self,
        request: ExplainRequestRequest,
    ) -> UnaryConn<ExplainRequestRequest, ExplainRequestResponse> {
        UnaryConn::unary::<Prost>(&self.0, "ExplainRequest", request)
    }
    pub fn list_decisions(
        &self,
        request: ListDecisionsRequest,
    ) -> UnaryConn<ListDecisionsRequest, ListDecisionsResponse> {
        UnaryConn::unary::<Prost>(&self.0, "ListDecisions", request)
    }
    pub fn watch_decisions(
        &self,
        request: WatchDecisionsRequest,
    ) -> StreamingConn<WatchDecisionsRequest, Decision> {
        StreamingConn::server_streaming::<Prost>(&self.0, "WatchDecisions", request)
    }
    pub fn validate_configuration(
        &self,
        request: ValidateConfigurationRequest,
    ) -> UnaryConn<ValidateConfigurationRequest, ValidateConfigurationResponse> {
        UnaryConn::unary::<Prost>(&self.0, "ValidateConfiguration", request)
    }
}
