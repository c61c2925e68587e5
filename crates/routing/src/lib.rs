//! Decisions of the request path: upstream selection, admission, rate limits and retries.
//!
//! The crate performs no I/O. [`RoutePicker`] selects an upstream, [`AdmissionQueue`] admits
//! requests by priority and fair share, [`OrganisationLimiter`] enforces the limits of
//! organisations, and [`AdaptiveLimit`] bounds the requests in flight at one upstream. [`retry`]
//! and [`AttemptLedger`] decide which requests may be retried safely. [`CrashTracker`] quarantines
//! requests that crash the upstreams running them, and [`DuplicateGate`] bounds the duplicates in
//! progress of a request that is not known to have been answered. [`BackoffTable`] records the
//! upstreams that asked for a backoff, and [`LimitTable`] those that accept only a given rate;
//! [`PermitIssuer`] and [`PermitHolder`] divide that rate among the daemons. [`ConfigFreshness`]
//! decides whether a caller may be told that something does not exist.
//!
//! Invariants: a request whose deadline has passed is never admitted; a request that is not
//! repeatable is never run twice; retries never exceed their budget.

mod adaptive;
mod admission;
mod ask_schedule;
mod attempts;
mod attribution;
mod backoff;
mod burst;
mod claim_wait;
mod config_freshness;
mod content;
mod copies;
mod crash_tracker;
mod crashes;
mod limit_coordinator;
mod limit_table;
mod limiter;
mod limits;
mod permits;
mod picker;
mod prefix;
mod probe_turns;
mod probes;
pub mod retry;
mod transit;
mod upstream_wait;

pub use adaptive::AdaptiveLimit;
pub use admission::{AdmissionQueue, AdmissionTicket, QueueLimits, ShedRequestError};
pub use ask_schedule::AskSchedule;
pub use attempts::{AttemptBounds, AttemptLedger};
pub use backoff::{BackoffReason, BackoffTable};
pub use claim_wait::{ClaimWaitFacts, VoterContact, claim_wait};
pub use config_freshness::ConfigFreshness;
pub use content::{RequestContent, RequestContents, digest_part};
pub use copies::{DuplicateGate, DuplicateLimiter, DuplicateStep, DuplicateTicket, WaitLimits};
pub use crash_tracker::{AnswerProof, ContentStanding, CrashTracker};
pub use crashes::{CrashLedger, QuarantineScope, QuarantineState, TerminatedRun};
pub use limit_coordinator::{AskOutcome, LimitCoordinator};
pub use limit_table::{LimitNotice, LimitTable, NoticeInterval, limit_text};
pub use limiter::{LimitRequestError, LimitTicket, OrganisationLimiter};
pub use limits::UpstreamLimits;
pub use permits::{
    IssuedPermits, PERMIT_INTERVAL, PERMIT_LIFETIME, PERMIT_POLL_INTERVAL, PERMIT_WAIT_TIMEOUT,
    Permit, PermitHolder, PermitIssuer,
};
pub use picker::{PickRules, RouteCandidate, RouteChoice, RoutePicker, UpstreamKey};
pub use prefix::{PrefixTable, hash_prefix};
pub use probes::{may_probe, probe_delay};
pub use transit::TransitClock;
pub use upstream_wait::{UpstreamOutlook, WaitFacts, may_return_to_failed, upstream_wait_limit};
