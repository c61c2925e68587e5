//! Shows a process's metrics under its metrics address.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::sync::watch;

use crate::http::{HttpAnswer, HttpHandler, HttpLimits, bind_http, plain_answer, serve_http};

/// Path of the page.
const METRICS_PATH: &str = "/metrics";
const LIMITS: HttpLimits = HttpLimits { head_bytes: 8 << 10, idle: Duration::from_secs(15) };

/// Answers with the page that a function writes.
struct MetricsHandler<F>(F);

impl<F: Fn() -> String + Send + Sync + 'static> HttpHandler for MetricsHandler<F> {
    fn limits(&self) -> HttpLimits {
        LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> HttpAnswer {
        if request.uri().path() == METRICS_PATH {
            plain_answer(StatusCode::OK, (self.0)())
        } else {
            plain_answer(StatusCode::NOT_FOUND, "no such path")
        }
    }
}

/// Shows the page on an address until the process ends.
///
/// An address that cannot be listened on is logged and does not keep the process from its work.
pub fn serve_metrics(address: Option<&str>, page: impl Fn() -> String + Send + Sync + 'static) {
    let Some(address) = address else { return };
    match bind_http(address) {
        Ok(listener) => {
            tokio::spawn(async move {
                // Metrics are shown until the process ends: nobody sends on this channel.
                let (_open, never) = watch::channel(false);
                serve_http(listener, never, Arc::new(MetricsHandler(page))).await;
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
