//! Where each request goes, how many are let in, and what is tried again.
//!
//! This crate holds the decisions of the request path without its input and
//! output: [`RoutePicker`] chooses an upstream, [`AdmissionQueue`] lets requests
//! in by priority and fair share, [`OrganisationLimiter`] holds organisations to
//! their limits, [`AdaptiveLimit`] bounds what one upstream gets, [`retry`] and
//! [`AttemptLedger`] say what may be tried again without breaking a promise,
//! [`CrashTracker`] which requests end the upstreams that they run on, [`DuplicateGate`]
//! how many copies of a request that nobody has seen answered go at once,
//! [`BackoffTable`] which upstreams want no requests, [`LimitTable`] which take
//! only so many a second, [`PermitIssuer`] and [`PermitHolder`] who may send
//! those, and [`ConfigFreshness`] whether a caller may be told that
//! something does not exist.
//!
//! Invariants: a request whose deadline has passed is never let through; a not
//! repeatable request is never tried twice; retries never exceed their budget.

mod adaptive;
mod admission;
mod attempts;
mod backoff;
mod burst;
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
mod probes;
pub mod retry;

pub use adaptive::AdaptiveLimit;
pub use admission::{AdmissionQueue, AdmissionTicket, QueueLimits, ShedRequestError};
pub use attempts::{AttemptBounds, AttemptLedger};
pub use backoff::{BackoffReason, BackoffTable};
pub use config_freshness::ConfigFreshness;
pub use content::RequestContent;
pub use copies::{DuplicateGate, DuplicateLimiter, DuplicateStep, DuplicateTicket};
pub use crash_tracker::CrashTracker;
pub use crashes::{CrashLedger, QuarantineState, TerminatedRun};
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
