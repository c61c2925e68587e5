//! Tells a burst of a request that ends upstreams from a loss of upstreams that it only met.
//!
//! Load pattern: many copies of such a request come together and are sent before the first of them
//! has ended its upstream. Forty copies took ten of ten upstreams down at once, and again each time
//! that they came, since all ends of one moment were taken for one event, as a lost rack is.
//!
//! What tells them apart: a request that ends upstreams was under way at those that ended and is
//! answered by none; a loss also takes upstreams that were running something else, and of a
//! request that many send alike some copies are answered elsewhere.
//!
//! Trade-off: a request that was never answered before and runs nearly everywhere looks guilty when
//! everything is lost. It is held for as long as upstreams take to come back, and its first answer
//! clears it. `tests/crash_bursts.rs` has the rates of the ways that were weighed.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::crashes::TerminatedRun;

/// Upstreams that end under a request within one moment, from which on it is suspected. Two are
/// often lost together, by chance or with their rack.
const MIN_TERMINATIONS: usize = 3;
/// Time before and after an end that is one moment: copies that are sent together end their upstreams
/// within it, unless these work on them for more than a second before. Two losses are further apart.
const BURST_WINDOW: Duration = Duration::from_millis(300);
/// Part of all upstreams that ended in that moment which had the request under way. More than one
/// such request may come at once, and something else may be lost meanwhile.
const MIN_COVERAGE: f64 = 0.3;
/// How many times further apart than their ends the lengths of runs are, where all were broken off
/// by one event.
const LENGTH_SPREAD_RATIO: u32 = 2;
/// Difference between the lengths of runs below which it says nothing: all were sent together.
const MIN_LENGTH_SPREAD: Duration = Duration::from_millis(60);
/// Most ends kept, about 40 KB; more than all upstreams that are lost within an hour in a fleet of
/// the size that is planned for, a lost zone included.
const MAX_TERMINATIONS: usize = 1024;

/// When upstreams were seen to end, whatever was under way there.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamTerminations {
    at: HashMap<u64, Instant>,
}

impl UpstreamTerminations {
    /// Notes an end; the earliest time that was told counts.
    pub(crate) fn record(&mut self, upstream: u64, ended: Instant) {
        let at = self.at.entry(upstream).or_insert(ended);
        *at = ended.min(*at);
        if self.at.len() > MAX_TERMINATIONS {
            let oldest = self.at.iter().min_by_key(|(_, at)| **at).map(|(upstream, _)| *upstream);
            oldest.map(|upstream| self.at.remove(&upstream));
        }
    }

    /// Upstreams that ended within a span of time.
    fn count(&self, from: Instant, to: Instant) -> usize {
        self.at.values().filter(|at| **at >= from && **at <= to).count()
    }

    /// Forgets what does not count any more.
    pub(crate) fn prune(&mut self, recent: impl Fn(Instant) -> bool) {
        self.at.retain(|_, at| recent(*at));
    }
}

/// When the first burst of a request was over, if it came in one; each run is at another upstream.
pub(crate) fn find_burst(
    runs: &[TerminatedRun],
    terminations: &UpstreamTerminations,
) -> Option<Instant> {
    let windows = runs.iter().map(|run| runs_around(runs, run.ended));
    let bursts = windows.filter(|window| is_burst(window, terminations));
    bursts.filter_map(|burst| burst.iter().map(|run| run.ended).max()).min()
}

/// Runs that ended at about this time.
fn runs_around(runs: &[TerminatedRun], at: Instant) -> Vec<TerminatedRun> {
    let distance = |run: &TerminatedRun| run.ended.max(at) - run.ended.min(at);
    runs.iter().filter(|run| distance(run) <= BURST_WINDOW).copied().collect()
}

fn is_burst(runs: &[TerminatedRun], terminations: &UpstreamTerminations) -> bool {
    let ended = runs.iter().map(|run| run.ended);
    let Some((first, last)) = ended.clone().min().zip(ended.max()) else { return false };
    let covered = runs.len() as f64 >= terminations.count(first, last) as f64 * MIN_COVERAGE;
    runs.len() >= MIN_TERMINATIONS && covered && !is_common_cause(runs)
}

/// Whether runs ended together although they were sent apart, as what a loss breaks off. Under a
/// request that ends upstreams they end as far apart as they were sent, or further.
fn is_common_cause(runs: &[TerminatedRun]) -> bool {
    let ends = runs.iter().map(|run| run.ended);
    let lengths = runs.iter().map(|run| run.ended.saturating_duration_since(run.sent));
    let end_spread = ends.clone().max().zip(ends.min()).map(|(last, first)| last - first);
    let length_spread = lengths.clone().max().zip(lengths.min()).map(|(most, least)| most - least);
    let (Some(end_spread), Some(length_spread)) = (end_spread, length_spread) else { return false };
    length_spread > MIN_LENGTH_SPREAD && end_spread * LENGTH_SPREAD_RATIO < length_spread
}
