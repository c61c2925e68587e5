//! Selects the upstream for one request.
//!
//! First a pool is drawn by the weights of a model's versions and outside endpoints, then a replica
//! of it. The replica that caches the prompt's prefix is preferred unless its load is well above
//! the average. Otherwise the less loaded of two replicas drawn at random is selected, from the
//! local availability zone unless replicas of other zones are clearly less loaded. The cost of one
//! selection grows only with the number of candidates of one model.

use std::collections::{HashMap, VecDeque};

use hollowbarrow_schema::{Epoch, ZoneId};
use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::adaptive::AdaptiveLimit;
use crate::prefix::PrefixTable;

/// Limit of requests in flight at an upstream before it has adapted.
const INITIAL_LIMIT: u32 = 64;

/// Identity of an upstream: a replica in one epoch, an endpoint, or the node of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey {
    /// Name of the head node or endpoint.
    pub name: String,
    /// Epoch of the replica; 0 for other upstreams.
    pub epoch: Epoch,
}

/// An upstream that may serve the request.
#[derive(Clone, Debug)]
pub struct RouteCandidate {
    /// Identity of the upstream.
    pub key: UpstreamKey,
    /// Group, endpoint or service that the upstream belongs to. Weights apply between pools.
    pub pool: String,
    /// Weight of the pool.
    pub weight: u32,
    /// Availability zone of the upstream; `None` for outside endpoints.
    pub zone: Option<ZoneId>,
    /// Load that the upstream last reported.
    pub reported: u32,
    /// Earliest time at which the upstream can have measured that load.
    pub reported_at: Instant,
}

/// Thresholds of the selection.
#[derive(Clone, Debug)]
pub struct PickRules {
    /// Difference in load by which an upstream of another zone must be less loaded to be preferred.
    pub spill_margin: u32,
    /// The upstream that caches the prefix is skipped if its load exceeds this multiple of the
    /// average plus two.
    pub affinity_bound: f64,
}

impl Default for PickRules {
    fn default() -> Self {
        Self { spill_margin: 8, affinity_bound: 1.5 }
    }
}

/// Result of a selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// The selected upstream.
    pub key: UpstreamKey,
    /// Number of blocks of the prompt's prefix that the upstream is expected to have cached.
    pub prefix_blocks: usize,
}

#[derive(Debug)]
struct UpstreamTally {
    in_flight: u32,
    started: VecDeque<Instant>,
    ended: VecDeque<Instant>,
    limit: AdaptiveLimit,
}

impl UpstreamTally {
    fn new() -> Self {
        Self {
            in_flight: 0,
            started: VecDeque::new(),
            ended: VecDeque::new(),
            limit: AdaptiveLimit::new(INITIAL_LIMIT),
        }
    }
}

/// Selects upstreams and counts the requests that this daemon has sent to each.
#[derive(Debug)]
pub struct RoutePicker {
    zone: ZoneId,
    rules: PickRules,
    tallies: HashMap<UpstreamKey, UpstreamTally>,
    prefixes: PrefixTable,
}

impl RoutePicker {
    /// Creates a picker for a daemon in an availability zone.
    pub fn new(zone: &ZoneId, prefix_capacity: usize) -> Self {
        Self {
            zone: zone.clone(),
            rules: PickRules::default(),
            tallies: HashMap::new(),
            prefixes: PrefixTable::new(prefix_capacity),
        }
    }

    /// Sets the thresholds of the selection.
    pub fn with_rules(mut self, rules: PickRules) -> Self {
        self.rules = rules;
        self
    }

    /// Returns the table of prompt prefixes.
    pub fn prefixes_mut(&mut self) -> &mut PrefixTable {
        &mut self.prefixes
    }

    /// Returns the number of requests that this daemon has in flight at an upstream.
    pub fn in_flight(&self, key: &UpstreamKey) -> u32 {
        self.tallies.get(key).map_or(0, |tally| tally.in_flight)
    }

    /// Estimates the current load of an upstream: its last report, corrected by the requests that
    /// this daemon has started and finished since.
    pub fn estimated_load(&self, candidate: &RouteCandidate) -> u32 {
        let Some(tally) = self.tallies.get(&candidate.key) else { return candidate.reported };
        let since = |times: &VecDeque<Instant>| {
            times.iter().rev().take_while(|time| **time >= candidate.reported_at).count() as u32
        };
        let sent = candidate.reported + since(&tally.started);
        sent.saturating_sub(since(&tally.ended)).max(tally.in_flight)
    }

    fn has_capacity(&self, candidate: &RouteCandidate) -> bool {
        self.tallies.get(&candidate.key).is_none_or(|tally| tally.in_flight < tally.limit.limit())
    }

    /// Selects one of the candidates, or returns `None` if none has capacity.
    pub fn pick(
        &self,
        candidates: &[RouteCandidate],
        blocks: &[u64],
        rng: &mut impl Rng,
    ) -> Option<RouteChoice> {
        let open: Vec<&RouteCandidate> =
            candidates.iter().filter(|candidate| self.has_capacity(candidate)).collect();
        let pool = choose_pool(&open, rng)?.to_owned();
        let members: Vec<(&RouteCandidate, u32)> = open
            .into_iter()
            .filter(|candidate| candidate.pool == pool)
            .map(|candidate| (candidate, self.estimated_load(candidate)))
            .collect();
        let near = self.prefer_local_zone(members);
        if let Some(choice) = self.pick_by_prefix(&near, blocks) {
            return Some(choice);
        }
        let first = &near[rng.random_range(0..near.len())];
        let second = &near[rng.random_range(0..near.len())];
        let chosen = if second.1 < first.1 { second } else { first };
        Some(RouteChoice { key: chosen.0.key.clone(), prefix_blocks: 0 })
    }

    /// Keeps the candidates of the local zone unless another zone's are less loaded by the margin.
    fn prefer_local_zone<'a>(
        &self,
        members: Vec<(&'a RouteCandidate, u32)>,
    ) -> Vec<(&'a RouteCandidate, u32)> {
        let is_local = |candidate: &RouteCandidate| candidate.zone.as_ref() == Some(&self.zone);
        let least = |local: bool| {
            members.iter().filter(|(c, _)| is_local(c) == local).map(|(_, load)| *load).min()
        };
        match (least(true), least(false)) {
            (Some(local), Some(other)) if local <= other + self.rules.spill_margin => {
                members.into_iter().filter(|(candidate, _)| is_local(candidate)).collect()
            }
            _ => members,
        }
    }

    fn pick_by_prefix(
        &self,
        members: &[(&RouteCandidate, u32)],
        blocks: &[u64],
    ) -> Option<RouteChoice> {
        let (holder, prefix_blocks) = self.prefixes.longest(blocks)?;
        let (candidate, load) = members.iter().find(|(member, _)| member.key == *holder)?;
        let total: u32 = members.iter().map(|(_, load)| load).sum();
        let average = f64::from(total) / members.len() as f64;
        let bound = average * self.rules.affinity_bound + 2.0;
        (f64::from(*load) <= bound)
            .then(|| RouteChoice { key: candidate.key.clone(), prefix_blocks })
    }

    /// Records that a request was sent.
    pub fn record_start(&mut self, key: &UpstreamKey, blocks: &[u64], now: Instant) {
        let tally = self.tallies.entry(key.clone()).or_insert_with(UpstreamTally::new);
        tally.in_flight += 1;
        tally.started.push_back(now);
        self.prefixes.learn(blocks, key);
    }

    /// Records that a request ended; `first_ms` is the time to its first byte, if one was received.
    pub fn record_end(&mut self, key: &UpstreamKey, first_ms: Option<f64>, now: Instant) {
        let Some(tally) = self.tallies.get_mut(key) else { return };
        if let Some(first_ms) = first_ms {
            tally.limit.record_answer(first_ms, tally.in_flight);
        }
        tally.in_flight = tally.in_flight.saturating_sub(1);
        tally.ended.push_back(now);
    }

    /// Records that an upstream refused a request for lack of capacity.
    pub fn record_refusal(&mut self, key: &UpstreamKey) {
        if let Some(tally) = self.tallies.get_mut(key) {
            tally.limit.record_refusal();
        }
    }

    /// Drops counts older than any report in use, and idle upstreams that have departed.
    pub fn prune(&mut self, oldest_report: Instant, known: impl Fn(&UpstreamKey) -> bool) {
        for tally in self.tallies.values_mut() {
            let old = |time: &&Instant| **time < oldest_report;
            let started = tally.started.iter().take_while(old).count();
            let ended = tally.ended.iter().take_while(old).count();
            tally.started.drain(..started);
            tally.ended.drain(..ended);
        }
        self.tallies.retain(|key, tally| tally.in_flight > 0 || known(key));
    }
}

/// Draws a pool by weight. Pools of weight 0 are never drawn.
fn choose_pool<'a>(candidates: &[&'a RouteCandidate], rng: &mut impl Rng) -> Option<&'a str> {
    let mut pools: Vec<(&str, u64)> = Vec::new();
    for candidate in candidates {
        if !pools.iter().any(|(pool, _)| *pool == candidate.pool) {
            pools.push((&candidate.pool, u64::from(candidate.weight)));
        }
    }
    let total: u64 = pools.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return None;
    }
    let mut drawn = rng.random_range(0..total);
    pools.into_iter().find_map(|(pool, weight)| {
        if drawn < weight {
            return Some(pool);
        }
        drawn -= weight;
        None
    })
}
