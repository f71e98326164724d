//! The operators' interface over HTTP: gRPC calls, and metrics at `/metrics`.

use crate::control::ControlHandle;
use crate::metrics_text::metrics_text;
use eiderferry_config::KeyDigest;
use eiderferry_node::Node;
use eiderferry_operator::answers;
use eiderferry_operator::schema::{
    Decision, DrainRequest, DrainResponse, ExplainRequestRequest, ExplainRequestResponse,
    GetStatusRequest, GetStatusResponse, ListBackEndsRequest, ListBackEndsResponse,
    ListClassesRequest, ListClassesResponse, ListDecisionsRequest, ListDecisionsResponse,
    ListTenantsRequest, ListTenantsResponse, Operator, OperatorServer, UndrainRequest,
    UndrainResponse, ValidateConfigurationRequest, ValidateConfigurationResponse,
    WatchDecisionsRequest,
};
use eiderferry_types::RequestId;
use futures_lite::stream;
use std::collections::VecDeque;
use std::time::Duration;
use trillium::{Conn, Handler, KnownHeaderName, Status as HttpStatus};
use trillium_grpc::{GrpcServerConn, Status, Stream};

/// Time between two looks for new decisions to be watched.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Everything served on the operators' address.
pub(crate) fn operator_handler(
    control: ControlHandle,
    token_digests: Vec<KeyDigest>,
) -> impl Handler {
    (
        Authorization { token_digests },
        MetricsPage {
            control: control.clone(),
        },
        OperatorServer::new(OperatorService { control }),
    )
}

/// Lets in only callers with a known token, if any tokens are set.
struct Authorization {
    token_digests: Vec<KeyDigest>,
}

impl Handler for Authorization {
    async fn run(&self, conn: Conn) -> Conn {
        if self.token_digests.is_empty() {
            return conn;
        }
        let token = conn
            .request_headers()
            .get_str(KnownHeaderName::Authorization)
            .and_then(|value| value.strip_prefix("Bearer "));
        let digest = KeyDigest::of(token.unwrap_or(""));
        let mut known = false;
        for candidate in &self.token_digests {
            known |= candidate.matches(&digest);
        }
        if known {
            return conn;
        }
        conn.with_status(HttpStatus::Unauthorized)
            .with_body("no operator holds this token: send `authorization: Bearer TOKEN`")
            .halt()
    }
}

struct MetricsPage {
    control: ControlHandle,
}

impl Handler for MetricsPage {
    async fn run(&self, conn: Conn) -> Conn {
        if conn.path() != "/metrics" {
            return conn;
        }
        match self.control.with_node(|node| metrics_text(node)).await {
            Ok(text) => conn.ok(text),
            Err(error) => conn
                .with_status(HttpStatus::ServiceUnavailable)
                .with_body(error.to_string())
                .halt(),
        }
    }
}

struct OperatorService {
    control: ControlHandle,
}

impl OperatorService {
    async fn ask<T: Send + 'static>(
        &self,
        question: impl FnOnce(&mut Node) -> T + Send + 'static,
    ) -> Result<T, Status> {
        let answer = self.control.with_node(question).await;
        answer.map_err(|error| Status::unavailable(error.to_string()))
    }
}

impl Operator for OperatorService {
    async fn get_status(
        &self,
        _: &mut GrpcServerConn,
        _: GetStatusRequest,
    ) -> Result<GetStatusResponse, Status> {
        self.ask(|node| answers::status(node)).await
    }

    async fn list_classes(
        &self,
        _: &mut GrpcServerConn,
        _: ListClassesRequest,
    ) -> Result<ListClassesResponse, Status> {
        self.ask(|node| answers::classes(node)).await
    }

    async fn list_back_ends(
        &self,
        _: &mut GrpcServerConn,
        _: ListBackEndsRequest,
    ) -> Result<ListBackEndsResponse, Status> {
        self.ask(|node| answers::back_ends(node)).await
    }

    async fn list_tenants(
        &self,
        _: &mut GrpcServerConn,
        _: ListTenantsRequest,
    ) -> Result<ListTenantsResponse, Status> {
        self.ask(|node| answers::tenants(node)).await
    }

    async fn drain(
        &self,
        _: &mut GrpcServerConn,
        _: DrainRequest,
    ) -> Result<DrainResponse, Status> {
        self.ask(|node| {
            let now = node.now();
            node.drain(now);
            DrainResponse {
                open_requests: node.open_requests() as u64,
            }
        })
        .await
    }

    async fn undrain(
        &self,
        _: &mut GrpcServerConn,
        _: UndrainRequest,
    ) -> Result<UndrainResponse, Status> {
        self.ask(|node| {
            let now = node.now();
            node.undrain(now);
            UndrainResponse {}
        })
        .await
    }

    async fn explain_request(
        &self,
        _: &mut GrpcServerConn,
        request: ExplainRequestRequest,
    ) -> Result<ExplainRequestResponse, Status> {
        let text = request.request_id;
        let Ok(id) = text.parse::<RequestId>() else {
            let message = format!("{text:?} is no request name; it has the form NODE-RUN-NUMBER");
            return Err(Status::invalid_argument(message));
        };
        let decisions = self.ask(move |node| answers::explain(node, id)).await?;
        if decisions.is_empty() {
            let message = format!(
                "nothing is remembered of request {text}: ask node {}, or it is too long ago",
                id.node
            );
            return Err(Status::not_found(message));
        }
        Ok(ExplainRequestResponse { decisions })
    }

    async fn list_decisions(
        &self,
        _: &mut GrpcServerConn,
        request: ListDecisionsRequest,
    ) -> Result<ListDecisionsResponse, Status> {
        let decisions = self
            .ask(move |node| answers::decisions(node, &request))
            .await?;
        Ok(ListDecisionsResponse { decisions })
    }

    async fn watch_decisions(
        &self,
        _: &mut GrpcServerConn,
        _: WatchDecisionsRequest,
    ) -> Result<impl Stream<Item = Result<Decision, Status>> + Send + use<>, Status> {
        let (last, _) = self
            .ask(|node| answers::decisions_after(node, u64::MAX))
            .await?;
        let start = (self.control.clone(), last, VecDeque::new());
        Ok(stream::unfold(start, next_decision))
    }

    async fn validate_configuration(
        &self,
        _: &mut GrpcServerConn,
        request: ValidateConfigurationRequest,
    ) -> Result<ValidateConfigurationResponse, Status> {
        self.ask(move |node| answers::validate(node, &request.document))
            .await
    }
}

type Watch = (ControlHandle, u64, VecDeque<Decision>);

/// The next decision of a watch; ends when the node does.
async fn next_decision(watch: Watch) -> Option<(Result<Decision, Status>, Watch)> {
    let (control, mut last, mut waiting) = watch;
    while waiting.is_empty() {
        smol::Timer::after(WATCH_INTERVAL).await;
        let look = control.with_node(move |node| answers::decisions_after(node, last));
        let (newest, decisions) = look.await.ok()?;
        last = newest;
        waiting.extend(decisions);
    }
    let decision = waiting.pop_front()?;
    Some((Ok(decision), (control, last, waiting)))
}
