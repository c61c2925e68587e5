//! Logs which requests gateways are told to send to no worker.

use std::collections::BTreeSet;

use hollowbarrow_schema::{HeldRequest, RequestDigest};

/// Requests that were held when gateways were last told.
#[derive(Debug, Default)]
pub(crate) struct HeldLog {
    held: BTreeSet<RequestDigest>,
}

impl HeldLog {
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
