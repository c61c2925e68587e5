//! Distinguishes a burst of a request that crashes upstreams from a loss of upstreams that
//! interrupted a harmless request.
//!
//! Load pattern: many duplicates of a request that crashes upstreams arrive together and are sent
//! before the first of them has crashed its upstream. When all terminations of one moment were
//! taken for one event, such as the loss of a rack, forty duplicates crashed ten of ten upstreams
//! at once, and again each time that they arrived.
//!
//! The criterion: a request that crashes upstreams was in progress at those that terminated and is
//! answered by none. A loss also takes upstreams that were running something else, and some
//! duplicates of a request that many callers send are answered elsewhere.
//!
//! Trade-off: a request that was never answered before and runs nearly everywhere is suspected when
//! all upstreams are lost. It is quarantined for as long as upstreams take to restart, and its
//! first answer clears it. `tests/crash_bursts.rs` prints the rates of the alternatives.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::crashes::TerminatedRun;

/// Number of upstreams that must terminate under a request within one window for it to be
/// suspected. Two are often lost together, by chance or with their rack.
const MIN_TERMINATIONS: usize = 3;
/// Time before and after a termination that belongs to the same burst. Duplicates that are sent
/// together crash their upstreams within it, unless upstreams work on them for more than a second
/// before. Two separate losses are further apart.
const BURST_WINDOW: Duration = Duration::from_millis(300);
/// Share of all upstreams that terminated within the window on which the request must have been in
/// progress. More than one such request may arrive at once, and upstreams may be lost for other
/// reasons in the same window.
const MIN_COVERAGE: f64 = 0.3;
/// Factor by which the spread of the run lengths exceeds the spread of the run ends if one event
/// interrupted all runs.
const LENGTH_SPREAD_RATIO: u32 = 2;
/// Spread of the run lengths up to which it is no evidence, since all runs were sent together.
const MIN_LENGTH_SPREAD: Duration = Duration::from_millis(60);
/// Maximum number of terminations kept, about 40 KB. It exceeds the number of upstreams that are
/// lost within an hour in a fleet of the planned size, including the loss of a zone.
const MAX_TERMINATIONS: usize = 1024;

/// When upstreams were observed to terminate, whatever they were running.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamTerminations {
    at: HashMap<u64, Instant>,
}

impl UpstreamTerminations {
    /// Records a termination; the earliest reported time is kept.
    pub(crate) fn record(&mut self, upstream: u64, ended: Instant) {
        let at = self.at.entry(upstream).or_insert(ended);
        *at = ended.min(*at);
        if self.at.len() > MAX_TERMINATIONS {
            let oldest = self.at.iter().map(|(upstream, at)| (*at, *upstream)).min();
            oldest.map(|(_, upstream)| self.at.remove(&upstream));
        }
    }

    /// Counts the upstreams that terminated within a period.
    fn count(&self, from: Instant, to: Instant) -> usize {
        self.at.values().filter(|at| **at >= from && **at <= to).count()
    }

    /// Removes terminations that are no longer recent.
    pub(crate) fn prune(&mut self, recent: impl Fn(Instant) -> bool) {
        self.at.retain(|_, at| recent(*at));
    }
}

/// Returns the end of the first burst of a request, if it arrived in one; each run is on another
/// upstream.
pub(crate) fn find_burst(
    runs: &[TerminatedRun],
    terminations: &UpstreamTerminations,
) -> Option<Instant> {
    let windows = runs.iter().map(|run| runs_around(runs, run.ended));
    let bursts = windows.filter(|window| is_burst(window, terminations));
    bursts.filter_map(|burst| burst.iter().map(|run| run.ended).max()).min()
}

/// Returns the runs that ended within the window around a time.
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

/// Returns whether the runs ended together although they were sent apart, as runs that a loss
/// interrupts. Runs of a request that crashes upstreams end at least as far apart as they were
/// sent.
fn is_common_cause(runs: &[TerminatedRun]) -> bool {
    let ends = runs.iter().map(|run| run.ended);
    let lengths = runs.iter().map(|run| run.ended.saturating_duration_since(run.sent));
    let end_spread = ends.clone().max().zip(ends.min()).map(|(last, first)| last - first);
    let length_spread = lengths.clone().max().zip(lengths.min()).map(|(most, least)| most - least);
    let (Some(end_spread), Some(length_spread)) = (end_spread, length_spread) else { return false };
    length_spread > MIN_LENGTH_SPREAD && end_spread * LENGTH_SPREAD_RATIO < length_spread
}
