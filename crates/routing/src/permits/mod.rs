//! Keeps the requests of all daemons to an upstream within the limit that the upstream states.
//!
//! One daemon, the leader, issues permits. Each permit allows one request to one upstream and
//! expires after a short time. A daemon asks for permits when requests could use them, keeps what
//! it was issued ([`PermitHolder`]) and returns permits that expired unused. The leader
//! ([`PermitIssuer`]) issues as many permits as the limit allows to whichever daemon asks, so that
//! a limit is used up wherever callers are.
//!
//! Load pattern: requests reach daemons unevenly, from all at one daemon to one every few seconds
//! at each of hundreds. Fixed shares of the limit for each daemon would leave most of it unused, or
//! let every daemon that has waited long enough send a request at the same moment. If each daemon
//! receives few requests, only the request that waits for a permit uses it, so a need expires when
//! its request stops waiting.
//!
//! Several upstreams may serve a request, and only the issuer knows which of them has a permit. A
//! need therefore names others beside the one that is asked for, and the issuer chooses.
//!
//! If no daemon issues permits, each daemon issues itself a small share of the limit, at times
//! drawn at random so that daemons do not send at the same moment.
//!
//! Invariant: while one daemon issues permits, the requests of all daemons in any period are at
//! most what the limit allows for that period plus twice the lifetime of a permit, plus the
//! issuer's burst.

mod holder;
mod issuer;

use std::time::Duration;

use hollowbarrow_schema::RequestRate;

pub use holder::{Permit, PermitHolder};
pub use issuer::{IssuedPermits, PermitIssuer};

/// Maximum time for which a permit may be used.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Time for which a request waits for a permit: a few times as long as the issuer takes to answer.
pub const PERMIT_WAIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which a waiting request checks for a permit. Polling is needed because a daemon that
/// issues permits to itself receives no message about them.
pub const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum pause between two messages to the issuer.
pub const PERMIT_INTERVAL: Duration = Duration::from_millis(50);
/// Lowest rate at which permits are issued, in requests a second. An upstream that receives no
/// request could not state that its limit has ended.
const MIN_RATE: f64 = 0.1;

/// Returns the permits a second that a limit allows.
fn permits_per_s(limit: RequestRate) -> f64 {
    (*limit as f64 / 1000.0).max(MIN_RATE)
}
