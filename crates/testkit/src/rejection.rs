//! Nodes that reject requests with a `Retry-After` delay, or report a rate limit in their
//! responses.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Request, StatusCode};
use serde_json::json;
use tokio::time::Instant;

use crate::serve::{Answer, NodePort, json_answer};

/// Header in which a node reports its limit of requests per second.
const LIMIT_HEADER: &str = "x-hollowbarrow-limit";
/// Prefix of the paths for reports and orders, which are never rejected.
const CONTROL_PATHS: &str = "/hollowbarrow/";

#[derive(Debug, Default)]
struct RejectionState {
    /// `Retry-After` delay; while it is set, all requests are rejected.
    backoff: Option<Duration>,
    /// Times at which requests were rejected.
    rejections: Vec<Instant>,
    /// Limit that is reported in responses.
    limit: Option<&'static str>,
    /// Arrival times of all requests.
    arrivals: Vec<Instant>,
}

/// Controls whether a node rejects requests and which limit it reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct RejectionControl {
    state: Arc<Mutex<RejectionState>>,
}

impl RejectionControl {
    /// Makes the node reject requests with this `Retry-After` delay, or serve them again.
    pub(crate) fn set_backoff(&self, backoff: Option<Duration>) {
        self.state.lock().expect("the mutex is not poisoned").backoff = backoff;
    }

    /// Sets the limit that the node reports in its responses.
    pub(crate) fn set_limit(&self, limit: Option<&'static str>) {
        self.state.lock().expect("the mutex is not poisoned").limit = limit;
    }

    /// Returns the arrival times of all requests.
    pub(crate) fn arrivals(&self) -> Vec<Instant> {
        self.state.lock().expect("the mutex is not poisoned").arrivals.clone()
    }

    /// Returns the times at which requests were rejected.
    pub(crate) fn rejections(&self) -> Vec<Instant> {
        self.state.lock().expect("the mutex is not poisoned").rejections.clone()
    }

    /// Starts a node's server, which passes requests to the handler unless it rejects them.
    pub(crate) fn serve<H, F>(&self, handler: H) -> NodePort
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let control = self.clone();
        let handler = Arc::new(handler);
        NodePort::serve(move |request| {
            let limit = control.record_arrival(&request);
            let rejection = control.reject(&request);
            let handler = Arc::clone(&handler);
            async move {
                let mut answer = match rejection {
                    Some(rejection) => rejection,
                    None => handler(request).await,
                };
                if let Some(limit) = limit {
                    let limit = HeaderValue::from_static(limit);
                    answer.headers_mut().insert(LIMIT_HEADER, limit);
                }
                answer
            }
        })
    }

    /// Records a request and returns the limit to report in its response.
    fn record_arrival<B>(&self, request: &Request<B>) -> Option<&'static str> {
        if request.uri().path().starts_with(CONTROL_PATHS) {
            return None;
        }
        let mut state = self.state.lock().expect("the mutex is not poisoned");
        state.arrivals.push(Instant::now());
        state.limit
    }

    /// Returns the rejection of a request, `None` if it is to be served.
    fn reject<B>(&self, request: &Request<B>) -> Option<Answer> {
        if request.uri().path().starts_with(CONTROL_PATHS) {
            return None;
        }
        let mut state = self.state.lock().expect("the mutex is not poisoned");
        let seconds = state.backoff?.as_secs();
        state.rejections.push(Instant::now());
        let reason = json!({"error": {"code": "at_its_limit", "ran": "not_run"}});
        let mut answer = json_answer(StatusCode::SERVICE_UNAVAILABLE, &reason);
        answer.headers_mut().insert(RETRY_AFTER, seconds.into());
        Some(answer)
    }
}
