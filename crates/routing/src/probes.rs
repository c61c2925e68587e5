//! Decides which daemon sends a request once more whose hold is over.
//!
//! Load pattern: a request that ended upstreams was held, and copies of it come to all daemons all
//! the while. Were it free again everywhere at once, each daemon would send one, and as many
//! upstreams would end under it.
//!
//! Decision: time is divided into windows, and in each of them half a daemon may try, in the mean.
//! Nobody has to agree on that: each draws for itself, from what all know. Where nothing comes of
//! it, since the request is rare, twice as many may try after each while, in the end all.

use std::time::Duration;

use hollowbarrow_schema::RequestDigest;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Daemons for each one that may try at first, in the mean: two at once are seldom then.
const INITIAL_DAEMONS_PER_PROBE: u32 = 2;
/// Time after which twice as many may try: several windows, in which a request that comes often
/// meets one that may, and in which all hear what came of it.
const DOUBLING_TIME: Duration = Duration::from_secs(5);

/// When a caller may come back whose request another daemon may be trying.
const PROBE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// For how long a daemon sends a request to no upstream whose hold has been over for `over`; none
/// where it may try. The other arguments are those of [`may_probe`].
pub fn probe_delay(
    daemon: u64,
    request: RequestDigest,
    window: u64,
    daemons: u32,
    expired_for: Duration,
) -> Option<Duration> {
    (!may_probe(daemon, request, window, daemons, expired_for)).then_some(PROBE_RETRY_AFTER)
}

/// Whether a daemon may send a request once more in this window; `daemon` tells it from the
/// others, and the hold has been over for `over`.
pub fn may_probe(
    daemon: u64,
    request: RequestDigest,
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
