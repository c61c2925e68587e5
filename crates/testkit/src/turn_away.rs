//! Nodes that turn requests away and ask for no more for a time, or name a limit in their answers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Request, StatusCode};
use serde_json::json;
use tokio::time::Instant;

use crate::serve::{Answer, NodePort, json_answer};

/// Header by which a node names the requests a second that it takes.
const LIMIT_HEADER: &str = "x-hollowbarrow-limit";
/// Paths of health and orders, which are answered all the time.
const CONTROL_PATHS: &str = "/hollowbarrow/";

#[derive(Debug, Default)]
struct TurnAwayState {
    /// Time for which no requests are wanted, while all are turned away.
    backoff: Option<Duration>,
    turned_away: Vec<Instant>,
    /// The limit that is named in answers.
    limit: Option<&'static str>,
    /// When requests came.
    arrivals: Vec<Instant>,
}

/// Whether a node turns requests away.
#[derive(Clone, Debug, Default)]
pub(crate) struct TurnAwaySwitch {
    state: Arc<Mutex<TurnAwayState>>,
}

impl TurnAwaySwitch {
    /// Has the node ask for no requests for this time, or serve again.
    pub(crate) fn set(&self, backoff: Option<Duration>) {
        self.state.lock().expect("no holder of the lock panics").backoff = backoff;
    }

    /// Has the node name a limit in its answers, or none.
    pub(crate) fn name_limit(&self, limit: Option<&'static str>) {
        self.state.lock().expect("no holder of the lock panics").limit = limit;
    }

    /// When requests came.
    pub(crate) fn arrivals(&self) -> Vec<Instant> {
        self.state.lock().expect("no holder of the lock panics").arrivals.clone()
    }

    /// When requests were turned away.
    pub(crate) fn turned_away(&self) -> Vec<Instant> {
        self.state.lock().expect("no holder of the lock panics").turned_away.clone()
    }

    /// Serves a node, whose requests reach the handler unless they are turned away.
    pub(crate) fn serve<H, F>(&self, handler: H) -> NodePort
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let switch = self.clone();
        let handler = Arc::new(handler);
        NodePort::serve(move |request| {
            let limit = switch.note_arrival(&request);
            let refusal = switch.refuse(&request);
            let handler = Arc::clone(&handler);
            async move {
                let mut answer = match refusal {
                    Some(refusal) => refusal,
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

    /// Notes a request; the limit that its answer names.
    fn note_arrival<B>(&self, request: &Request<B>) -> Option<&'static str> {
        if request.uri().path().starts_with(CONTROL_PATHS) {
            return None;
        }
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.arrivals.push(Instant::now());
        state.limit
    }

    /// The refusal of a request; none where it is to be served.
    fn refuse<B>(&self, request: &Request<B>) -> Option<Answer> {
        if request.uri().path().starts_with(CONTROL_PATHS) {
            return None;
        }
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let seconds = state.backoff?.as_secs();
        state.turned_away.push(Instant::now());
        let reason = json!({"error": {"code": "at_its_limit", "ran": "not_run"}});
        let mut answer = json_answer(StatusCode::SERVICE_UNAVAILABLE, &reason);
        answer.headers_mut().insert(RETRY_AFTER, seconds.into());
        Some(answer)
    }
}
