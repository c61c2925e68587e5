//! Chooses the upstream for one request.
//!
//! First a group is chosen by the weights of a model's versions and outside
//! endpoints, then a replica: the one that holds the prompt's prefix if it is
//! not loaded much above the average, else the less loaded of two drawn at
//! random, in the own availability zone unless others are clearly less loaded.
//! The cost of one choice grows with the candidates of one model only.

use std::collections::{HashMap, VecDeque};

use hollowbarrow_schema::{Epoch, ZoneId};
use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::adaptive::AdaptiveLimit;
use crate::prefix::PrefixTable;

/// Requests an upstream is given at first, before its limit has adapted.
const INITIAL_LIMIT: u32 = 64;

/// Identity of an upstream: a replica under one epoch, an endpoint or a service's node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey {
    /// Name of the head node or endpoint.
    pub name: String,
    /// Epoch of the replica, 0 for others.
    pub epoch: Epoch,
}

/// One upstream that may take the request.
#[derive(Clone, Debug)]
pub struct RouteCandidate {
    /// Which upstream.
    pub key: UpstreamKey,
    /// Group, endpoint or service that it belongs to; weights count between these.
    pub pool: String,
    /// Weight of that pool.
    pub weight: u32,
    /// Its availability zone, none for outside endpoints.
    pub zone: Option<ZoneId>,
    /// Load that it last reported.
    pub reported: u32,
    /// When it can first have reported that.
    pub reported_at: Instant,
}

/// Margins of the choice.
#[derive(Clone, Debug)]
pub struct PickRules {
    /// Requests by which another zone's upstream must be less loaded to be preferred.
    pub spill_margin: u32,
    /// A prefix's holder is passed over when loaded above this many times the average, plus two.
    pub affinity_bound: f64,
}

impl Default for PickRules {
    fn default() -> Self {
        Self { spill_margin: 8, affinity_bound: 1.5 }
    }
}

/// The outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// The chosen upstream.
    pub key: UpstreamKey,
    /// Blocks of the prompt's prefix that it is believed to hold.
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

/// Chooses upstreams and keeps count of what this daemon has sent them.
#[derive(Debug)]
pub struct RoutePicker {
    zone: ZoneId,
    rules: PickRules,
    tallies: HashMap<UpstreamKey, UpstreamTally>,
    prefixes: PrefixTable,
}

impl RoutePicker {
    /// Creates a picker for a daemon of an availability zone.
    pub fn new(zone: &ZoneId, prefix_capacity: usize) -> Self {
        Self {
            zone: zone.clone(),
            rules: PickRules::default(),
            tallies: HashMap::new(),
            prefixes: PrefixTable::new(prefix_capacity),
        }
    }

    /// Sets the margins of the choice.
    pub fn with_rules(mut self, rules: PickRules) -> Self {
        self.rules = rules;
        self
    }

    /// The table of prompt prefixes.
    pub fn prefixes_mut(&mut self) -> &mut PrefixTable {
        &mut self.prefixes
    }

    /// Requests that this daemon has in flight at an upstream.
    pub fn in_flight(&self, key: &UpstreamKey) -> u32 {
        self.tallies.get(key).map_or(0, |tally| tally.in_flight)
    }

    /// Load of an upstream now: its last report, corrected by what was sent and ended since.
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

    /// Chooses one of the candidates, or none where none has room.
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

    /// Keeps the own zone's candidates unless another zone's are less loaded by the margin.
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

    /// Notes that a request was sent.
    pub fn record_start(&mut self, key: &UpstreamKey, blocks: &[u64], now: Instant) {
        let tally = self.tallies.entry(key.clone()).or_insert_with(UpstreamTally::new);
        tally.in_flight += 1;
        tally.started.push_back(now);
        self.prefixes.learn(blocks, key);
    }

    /// Notes that a request ended; `first_ms` is the time to its first byte, if one came.
    pub fn record_end(&mut self, key: &UpstreamKey, first_ms: Option<f64>, now: Instant) {
        let Some(tally) = self.tallies.get_mut(key) else { return };
        if let Some(first_ms) = first_ms {
            tally.limit.record_answer(first_ms, tally.in_flight);
        }
        tally.in_flight = tally.in_flight.saturating_sub(1);
        tally.ended.push_back(now);
    }

    /// Notes that an upstream refused a request for lack of room.
    pub fn record_refusal(&mut self, key: &UpstreamKey) {
        if let Some(tally) = self.tallies.get_mut(key) {
            tally.limit.record_refusal();
        }
    }

    /// Drops counts older than any report in use, and upstreams that are gone and idle.
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

/// Draws a pool by weight; pools of weight 0 are drawn only where there is no other.
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
