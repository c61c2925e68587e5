//! Requests that gateways are told to send to no worker, and those that an operator has let go.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_schema::{HeldRequest, RequestDigest};
use tokio::time::Instant;

/// Time for which gateways are told that a request was let go: a hundred views, of which each
/// gateway needs one.
const RELEASE_TIME: Duration = Duration::from_secs(10);
/// Most requests that were let go and are told of at once.
const MOST_RELEASED: usize = 64;

/// Requests that an operator has let go lately.
#[derive(Debug, Default)]
pub(crate) struct ReleasedRequests {
    at: BTreeMap<RequestDigest, Instant>,
}

impl ReleasedRequests {
    /// Notes that an operator lets a request go.
    pub(crate) fn note(&mut self, request: RequestDigest, now: Instant) {
        self.at.insert(request, now);
    }

    /// What gateways are told of them.
    pub(crate) fn told(&mut self, now: Instant) -> Vec<HeldRequest> {
        self.at.retain(|_, at| now.saturating_duration_since(*at) < RELEASE_TIME);
        let told = |(request, at): (&RequestDigest, &Instant)| HeldRequest {
            request: *request,
            left_ms: 0,
            released_ms: Some(now.saturating_duration_since(*at).as_millis() as u32),
        };
        self.at.iter().take(MOST_RELEASED).map(told).collect()
    }
}

/// Requests that were held when gateways were last told.
#[derive(Debug, Default)]
pub(crate) struct QuarantineLog {
    held: BTreeSet<RequestDigest>,
}

impl QuarantineLog {
    /// Logs what has changed since the last call.
    pub(crate) fn note(&mut self, told: &[HeldRequest]) {
        let current = told.iter().filter(|held| held.left_ms > 0);
        let current: BTreeSet<RequestDigest> = current.map(|held| held.request).collect();
        for request in current.difference(&self.held) {
            log::warn!("event=request_held content={:016x}", **request);
        }
        for request in self.held.difference(&current) {
            log::info!("event=request_released content={:016x}", **request);
        }
        self.held = current;
    }
}
