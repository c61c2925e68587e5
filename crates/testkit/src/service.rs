//! A stand-in plain service: reads of free pitches, and holds that must not be executed twice.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::json;

use crate::record::{RunHistory, RunRecord};
use crate::serve::{Answer, json_answer};

pub(crate) struct PlainService {
    pub(crate) node: String,
    pub(crate) delay: Duration,
    pub(crate) history: RunHistory,
}

impl PlainService {
    pub(crate) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        if request.uri().path() == "/hollowbarrow/v1/report" {
            return json_answer(
                StatusCode::OK,
                &json!({"node": self.node, "start": 1, "epoch": 0, "state": "ready"}),
            );
        }
        let (parts, body) = request.into_parts();
        let header = |name: &str| {
            parts
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let request_id = header("x-request-id");
        let key = header("idempotency-key");
        let key = if key.is_empty() { request_id.clone() } else { key };
        if body.collect().await.is_err() {
            return json_answer(StatusCode::BAD_REQUEST, &json!({}));
        }
        if parts.method == Method::POST {
            self.history.record(RunRecord {
                key: key.clone(),
                node: self.node.clone(),
                missing_ms: 0,
                past_deadline: header("x-hollowbarrow-deadline-ms") == "0",
                draining: false,
            });
        }
        tokio::time::sleep(self.delay).await;
        let value = if parts.method == Method::POST {
            json!({"hold": key, "confirmed": true})
        } else {
            json!({"free": true, "target": parts.uri.to_string()})
        };
        let mut answer = json_answer(StatusCode::OK, &value);
        if let Ok(value) = request_id.parse() {
            answer.headers_mut().insert("x-request-id", value);
        }
        answer
    }
}
