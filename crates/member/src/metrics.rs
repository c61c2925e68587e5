//! Serves the metrics of a process over HTTP.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_ingress::{
    HttpAnswer, HttpHandler, HttpLimits, ListenerGate, RequestBody, bind_http, plain_answer,
    serve_http,
};
use hyper::{Request, StatusCode};
use tokio::sync::watch;

/// Path under which the metrics are served.
const METRICS_PATH: &str = "/metrics";
const LIMITS: HttpLimits = HttpLimits {
    head_bytes: 8 << 10,
    header: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// Answers metrics requests with the text that a function returns.
struct MetricsHandler<F>(F);

impl<F: Fn() -> String + Send + Sync + 'static> HttpHandler for MetricsHandler<F> {
    fn limits(&self) -> HttpLimits {
        LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request<RequestBody>) -> HttpAnswer {
        if request.uri().path() == METRICS_PATH {
            plain_answer(StatusCode::OK, (self.0)())
        } else {
            plain_answer(StatusCode::NOT_FOUND, "no such path")
        }
    }
}

/// Serves the metrics page on an address, if one is given, until the process exits.
///
/// If the address cannot be listened on, a warning is logged and the process runs without metrics.
pub fn serve_metrics(
    address: Option<&str>,
    gate: ListenerGate,
    page: impl Fn() -> String + Send + Sync + 'static,
) {
    let Some(address) = address else { return };
    match bind_http(address) {
        Ok(listener) => {
            tokio::spawn(async move {
                // Metrics are served until the process exits. The sender is kept alive, because
                // dropping it would stop the server.
                let (_stop_sender, stop) = watch::channel(false);
                serve_http(listener, stop, Arc::new(MetricsHandler(page)), gate).await;
            });
        }
        Err(error) => {
            log::warn!(
                "event=metrics_unavailable address={address} reason={:?}",
                error.to_string()
            );
        }
    }
}
