//! Requests in quarantine, which gateways send to no worker, and those that an operator released.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_schema::{ContentDigest, HeldRequest};
use tokio::time::Instant;

/// Time for which a release is published to gateways: about a hundred views, of which each gateway
/// needs one.
const RELEASE_TIME: Duration = Duration::from_secs(10);
/// Most released requests in one view.
const MOST_RELEASED: usize = 64;

/// Requests that an operator released recently.
#[derive(Debug, Default)]
pub(crate) struct ReleasedRequests {
    at: BTreeMap<ContentDigest, Instant>,
}

impl ReleasedRequests {
    /// Records that an operator releases a request.
    pub(crate) fn record(&mut self, request: ContentDigest, now: Instant) {
        self.at.insert(request, now);
    }

    /// Returns the released requests for the next view and drops those published for long enough.
    pub(crate) fn for_view(&mut self, now: Instant) -> Vec<HeldRequest> {
        self.at.retain(|_, at| now.saturating_duration_since(*at) < RELEASE_TIME);
        let release = |(request, at): (&ContentDigest, &Instant)| HeldRequest {
            request: *request,
            left_ms: 0,
            released_ms: Some(now.saturating_duration_since(*at).as_millis() as u32),
            organisation: None,
            prober: None,
        };
        self.at.iter().take(MOST_RELEASED).map(release).collect()
    }
}

/// Requests in quarantine as of the last published view, to log changes.
#[derive(Debug, Default)]
pub(crate) struct QuarantineLog {
    quarantined: BTreeSet<ContentDigest>,
    /// Requests that may be sent only as probe requests.
    probed: BTreeSet<ContentDigest>,
}

impl QuarantineLog {
    /// Logs which requests entered or left quarantine since the last call, and which have become
    /// suspected.
    ///
    /// `runs` returns the number of runs that count against a content.
    pub(crate) fn record(
        &mut self,
        published: &[HeldRequest],
        runs: impl Fn(ContentDigest) -> usize,
    ) {
        let (current, probed): (Vec<_>, Vec<_>) =
            published.iter().partition(|request| request.left_ms > 0);
        let digests = |requests: Vec<&HeldRequest>| -> BTreeSet<ContentDigest> {
            requests.into_iter().map(|listed| listed.request).collect()
        };
        let (current, probed) = (digests(current), digests(probed));
        let suspected = probed.difference(&self.probed);
        // A request whose quarantine has just ended is not newly suspected.
        for request in suspected.filter(|request| !self.quarantined.contains(request)) {
            let runs = runs(*request);
            log::info!("event=request_suspected content={:016x} runs={runs}", **request);
        }
        for request in current.difference(&self.quarantined) {
            let listed = published.iter().find(|listed| listed.request == *request);
            let organisation = listed.and_then(|listed| listed.organisation);
            let organisation = organisation.map_or("all".to_owned(), |hash| format!("{hash:016x}"));
            let runs = runs(*request);
            log::warn!(
                "event=request_held content={:016x} runs={runs} organisation={organisation}",
                **request
            );
        }
        for request in self.quarantined.difference(&current) {
            log::info!("event=request_released content={:016x}", **request);
        }
        self.quarantined = current;
        self.probed = probed;
    }
}
