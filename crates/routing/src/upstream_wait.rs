//! Decides how long a request waits while none of its upstreams accepts requests.
//!
//! A refusal tells the caller to come back later. That is right for a request that certainly cannot
//! be served soon. An upstream whose lease has expired may only be slow to answer, and a streamed
//! answer that has begun is lost for the caller if it is ended.

use std::time::Duration;

use tokio::time::Instant;

/// Share of a request's remaining time for which it may wait before it is refused. The rest is left
/// for the caller to try another daemon.
const WAIT_SHARE_DIVISOR: u32 = 4;

/// What is known of upstreams of which none accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamOutlook {
    /// None is expected.
    None,
    /// One is expected, but only once it has loaded.
    Loading,
    /// The lease of one has expired, and it is not known to be lost.
    Unconfirmed,
}

/// A request while none of its upstreams accepts requests.
#[derive(Clone, Copy, Debug)]
pub struct WaitFacts {
    /// What is known of its upstreams.
    pub outlook: UpstreamOutlook,
    /// Whether part of the answer has been sent to the caller.
    pub answer_started: bool,
    /// Since when the request waits.
    pub since: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Longest pause within a streamed answer.
    pub idle: Duration,
}

/// Returns until when a request waits for an upstream, `None` if it does not wait.
pub fn upstream_wait_limit(facts: &WaitFacts) -> Option<Instant> {
    let remaining = facts.deadline.saturating_duration_since(facts.since);
    match (facts.outlook, facts.answer_started) {
        (UpstreamOutlook::None, _) | (UpstreamOutlook::Loading, false) => None,
        (_, true) => Some(facts.since + remaining.min(facts.idle)),
        (UpstreamOutlook::Unconfirmed, false) => Some(facts.since + remaining / WAIT_SHARE_DIVISOR),
    }
}

/// Returns whether a request may go to an upstream again that has failed it, when no other accepts it
/// since `since`.
///
/// An upstream that broke off a streamed answer has often lost a member, which is known a lease later
/// at most. Until then the answer waits for another one, so that it does not use up its attempts.
pub fn may_return_to_failed(
    answer_started: bool,
    since: Instant,
    lease: Duration,
    now: Instant,
) -> bool {
    !answer_started || now.saturating_duration_since(since) >= lease
}
