//! The readiness listener, by which load balancers decide whether to send callers to this daemon.

use {
    super::shared::SharedState,
    crate::http::respond,
    salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode},
    std::sync::Arc,
};

/// Answers 200 while the daemon has a configuration and is not leaving, 503 otherwise.
#[derive(Debug)]
pub struct ReadinessHandler {
    /// State shared with the other threads.
    pub shared: Arc<SharedState>,
}

#[async_trait]
impl Handler for ReadinessHandler {
    async fn handle(&self, _req: &mut Request, _depot: &mut Depot, res: &mut Response, _ctrl: &mut FlowCtrl) {
        if self.shared.is_leaving() {
            respond(res, StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
        } else if self.shared.snapshot.load().table.is_none() {
            respond(res, StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
        } else {
            respond(res, StatusCode::OK, "ready\n");
        }
    }
}
