//! Decides which daemon sends a probe request after the quarantine of a request has expired.
//!
//! Load pattern: while a request that crashed upstreams is quarantined, duplicates of it keep
//! arriving at all daemons. If every daemon could send it again as soon as the quarantine expires,
//! each would send one, and as many upstreams would crash.
//!
//! Decision: time is divided into windows, in each of which half a daemon may send a probe request
//! on average. Daemons need no agreement for this: each draws by itself from facts that all of them
//! know. If the request is rare and no probe request is sent, the number of daemons that may send
//! one doubles at intervals, until all of them may.

use std::time::Duration;

use hollowbarrow_schema::ContentDigest;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of daemons per daemon that may send a probe request at first, on average. With this
/// number, two probe requests in one window are rare.
const INITIAL_DAEMONS_PER_PROBE: u32 = 2;
/// Time after which the number of daemons that may send a probe request doubles. It spans several
/// windows, so that a frequent request reaches a daemon that may send it and all daemons receive
/// the outcome.
const DOUBLING_TIME: Duration = Duration::from_secs(5);

/// Retry-After delay of a caller whose request another daemon may be probing.
const PROBE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns how long a daemon must still not send a request whose quarantine expired `expired_for`
/// ago; `None` if it may send a probe request. The other arguments are those of [`may_probe`].
pub fn probe_delay(
    daemon: u64,
    request: ContentDigest,
    window: u64,
    daemons: u32,
    expired_for: Duration,
) -> Option<Duration> {
    (!may_probe(daemon, request, window, daemons, expired_for)).then_some(PROBE_RETRY_AFTER)
}

/// Returns whether a daemon may send a probe request in this window. `daemon` identifies the
/// daemon, and the quarantine expired `expired_for` ago.
pub fn may_probe(
    daemon: u64,
    request: ContentDigest,
    window: u64,
    daemons: u32,
    expired_for: Duration,
) -> bool {
    if daemons <= 1 {
        return true;
    }
    let doublings = expired_for.as_secs() / DOUBLING_TIME.as_secs();
    let parts = u64::from(daemons.saturating_mul(INITIAL_DAEMONS_PER_PROBE));
    let parts = parts.checked_shr(u32::try_from(doublings).unwrap_or(u32::MAX)).unwrap_or(0);
    let draw = xxh3_64_with_seed(&[request.to_le_bytes(), window.to_le_bytes()].concat(), daemon);
    parts <= 1 || draw.is_multiple_of(parts)
}
