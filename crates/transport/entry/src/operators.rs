//! HTTP interface for operators: gRPC calls, and metrics at `/metrics`.

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

/// Interval at which a `WatchDecisions` call polls for new decisions.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the handler for all requests on the operators' address.
pub(crate) fn operator_handler(
    control: ControlHandle,
    token_digests: Vec<KeyDigest>,
) -> impl Handler {
    (
        TokenAuthorization { token_digests },
        MetricsHandler {
            control: control.clone(),
        },
        OperatorServer::new(OperatorService { control }),
    )
}

/// Requires a bearer token with one of the configured digests. Without configured digests, every
/// request is accepted.
struct TokenAuthorization {
    token_digests: Vec<KeyDigest>,
}

impl Handler for TokenAuthorization {
    async fn run(&self, conn: Conn) -> Conn {
        if self.token_digests.is_empty() {
            return conn;
        }
        let token = conn
            .request_headers()
            .get_str(KnownHeaderName::Authorization)
            .and_then(|value| value.strip_prefix("Bearer "));
        let digest = KeyDigest::of(token.unwrap_or(""));
        // Compares with every digest, so that the duration does not depend on which one matches.
        let mut is_authorized = false;
        for candidate in &self.token_digests {
            is_authorized |= candidate.matches(&digest);
        }
        if is_authorized {
            return conn;
        }
        conn.with_status(HttpStatus::Unauthorized)
            .with_body("no operator holds this token: send `authorization: Bearer TOKEN`")
            .halt()
    }
}

struct MetricsHandler {
    control: ControlHandle,
}

impl Handler for MetricsHandler {
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
    /// Runs `task` on the control thread; fails with `UNAVAILABLE` if that thread has stopped.
    async fn run_on_node<T: Send + 'static>(
        &self,
        task: impl FnOnce(&mut Node) -> T + Send + 'static,
    ) -> Result<T, Status> {
        let result = self.control.with_node(task).await;
        result.map_err(|error| Status::unavailable(error.to_string()))
    }
}

impl Operator for OperatorService {
    async fn get_status(
        &self,
        _: &mut GrpcServerConn,
        _: GetStatusRequest,
    ) -> Result<GetStatusResponse, Status> {
        self.run_on_node(|node| answers::status(node)).await
    }

    async fn list_classes(
        &self,
        _: &mut GrpcServerConn,
        _: ListClassesRequest,
    ) -> Result<ListClassesResponse, Status> {
        self.run_on_node(|node| answers::classes(node)).await
    }

    async fn list_back_ends(
        &self,
        _: &mut GrpcServerConn,
        _: ListBackEndsRequest,
    ) -> Result<ListBackEndsResponse, Status> {
        self.run_on_node(|node| answers::back_ends(node)).await
    }

    async fn list_tenants(
        &self,
        _: &mut GrpcServerConn,
        _: ListTenantsRequest,
    ) -> Result<ListTenantsResponse, Status> {
        self.run_on_node(|node| answers::tenants(node)).await
    }

    async fn drain(
        &self,
        _: &mut GrpcServerConn,
        _: DrainRequest,
    ) -> Result<DrainResponse, Status> {
        self.run_on_node(|node| {
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
        self.run_on_node(|node| {
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
        let decisions = self
            .run_on_node(move |node| answers::explain(node, id))
            .await?;
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
            .run_on_node(move |node| answers::decisions(node, &request))
            .await?;
        Ok(ListDecisionsResponse { decisions })
    }

    async fn watch_decisions(
        &self,
        _: &mut GrpcServerConn,
        _: WatchDecisionsRequest,
    ) -> Result<impl Stream<Item = Result<Decision, Status>> + Send + use<>, Status> {
        let (last_number, _) = self
            .run_on_node(|node| answers::decisions_after(node, u64::MAX))
            .await?;
        let initial_state = (self.control.clone(), last_number, VecDeque::new());
        Ok(stream::unfold(initial_state, next_decision))
    }

    async fn validate_configuration(
        &self,
        _: &mut GrpcServerConn,
        request: ValidateConfigurationRequest,
    ) -> Result<ValidateConfigurationResponse, Status> {
        self.run_on_node(move |node| answers::validate(node, &request.document))
            .await
    }
}

/// Handle to the control thread, number of the last decision read, and decisions not yet emitted.
type WatchState = (ControlHandle, u64, VecDeque<Decision>);

/// Waits for the next decision. The stream ends when the control thread has stopped.
async fn next_decision(state: WatchState) -> Option<(Result<Decision, Status>, WatchState)> {
    let (control, mut last_number, mut pending) = state;
    while pending.is_empty() {
        smol::Timer::after(WATCH_POLL_INTERVAL).await;
        let query = control.with_node(move |node| answers::decisions_after(node, last_number));
        let (newest_number, decisions) = query.await.ok()?;
        last_number = newest_number;
        pending.extend(decisions);
    }
    let decision = pending.pop_front()?;
    Some((Ok(decision), (control, last_number, pending)))
}
