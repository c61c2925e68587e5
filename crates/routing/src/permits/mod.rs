//! Keeps what all daemons together send to an upstream within the limit that it names.
//!
//! One daemon, the leader, issues permits: each is for one request to one upstream, and runs out
//! after a short time. A daemon asks for permits when requests could use them, holds what it was
//! issued ([`PermitHolder`]) and returns what ran out unused. The leader ([`PermitIssuer`]) issues
//! as many as the limit allows, whoever asks, so that a limit is used up wherever callers are.
//!
//! Load pattern: requests reach daemons unevenly, from all at one daemon to a request every few
//! seconds at each of hundreds. Parts of the limit for each daemon would leave most of it unused,
//! or let each daemon that has waited long enough send one at the same moment. Where each daemon
//! gets few requests, only one that waits for its permit uses it: a need counts for no longer
//! than its request waits.
//!
//! Where nobody issues permits, a daemon permits itself a small part of the limit, at times drawn
//! at random so that daemons do not send together.
//!
//! Invariant: while one daemon issues permits, the requests of all daemons in any time are at most
//! what the limit allows for that time and twice the lifetime of a permit, and the issuer's burst.

mod holder;
mod issuer;

use std::time::Duration;

use hollowbarrow_schema::RequestRate;

pub use holder::{Permit, PermitHolder};
pub use issuer::{IssuedPermits, PermitIssuer};

/// Longest time for which a permit may be used.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Time for which a request waits for a permit: a few times what the issuer takes to answer.
pub const PERMIT_WAIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause between two looks at whether a permit is there: a daemon that permits itself a request is
/// told nothing.
pub const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Longest pause between two messages to the issuer.
pub const PERMIT_INTERVAL: Duration = Duration::from_millis(50);
/// Lowest rate at which permits are issued, in requests a second: an upstream that gets no request
/// cannot say that its limit has ended.
const MIN_RATE: f64 = 0.1;

/// Permits a second for a limit.
fn permits_per_s(limit: RequestRate) -> f64 {
    (*limit as f64 / 1000.0).max(MIN_RATE)
}
