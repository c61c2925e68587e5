//! Enforces the limits of organisations over all entry nodes.
//!
//! Each daemon admits its share of an organisation's rate. The share follows demand: daemons send
//! each other the recent demand of each organisation, and a daemon's share is its part of the sum.
//! A small minimum share ensures that a first request is never refused for lack of history. A
//! daemon that receives no reports falls back to an even share. The admitted sum over all daemons
//! is therefore the limit, except for changes within one exchange of summaries.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, OrganisationId, OrganisationUse, ZoneId};
use thiserror::Error;
use tokio::time::Instant;

/// Seconds of its rate that an organisation may use at once.
const BURST_SECONDS: f64 = 2.0;
/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a demand report of another daemon is valid.
const DEMAND_LIFETIME: Duration = Duration::from_secs(5);
/// Part of the rate that daemons keep without demand, divided evenly among them.
const FLOOR_SHARE: f64 = 0.2;

/// Reason for which a request was refused before it was admitted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LimitRequestError {
    /// The organisation has used its rate.
    #[error("the organisation's request rate is exhausted; retry after {} ms", retry_after.as_millis())]
    RateUsed {
        /// Time after which the rate admits the request.
        retry_after: Duration,
    },
    /// The organisation has too many requests in flight.
    #[error("the organisation has {limit} requests in flight already")]
    TooMany {
        /// This daemon's share of the limit.
        limit: u32,
    },
    /// The organisation is not configured.
    #[error("the organisation is not known")]
    Unknown,
}

#[derive(Debug)]
struct OrganisationBucket {
    rate: f64,
    concurrent: u32,
    tokens: f64,
    filled: Instant,
    in_flight: u32,
    demand: f64,
    demand_at: Instant,
    others: BTreeMap<String, OtherDemand>,
}

/// Recent demand at one daemon, or at the daemons of one zone together.
#[derive(Clone, Debug)]
struct OtherDemand {
    zone: ZoneId,
    daemons: u32,
    demand: f64,
    at: Instant,
}

impl OtherDemand {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < DEMAND_LIFETIME
    }
}

/// Enforces the limits of organisations.
#[derive(Debug, Clone)]
pub struct OrganisationLimiter {
    buckets: Arc<Mutex<HashMap<OrganisationId, OrganisationBucket>>>,
    daemons: u32,
}

/// A request in flight; dropping it frees its slot.
#[derive(Debug)]
pub struct LimitTicket {
    limiter: OrganisationLimiter,
    organisation: OrganisationId,
}

impl Drop for LimitTicket {
    fn drop(&mut self) {
        self.limiter.with_bucket(&self.organisation, |bucket| {
            bucket.in_flight = bucket.in_flight.saturating_sub(1);
        });
    }
}

impl OrganisationLimiter {
    /// Creates a limiter for a number of daemons that share the limits.
    pub fn new(daemons: u32) -> Self {
        Self { buckets: Arc::default(), daemons: daemons.max(1) }
    }

    /// Adds an organisation with its rate in cost units a second and its maximum of concurrent
    /// requests.
    pub fn with_organisation(
        self,
        id: &OrganisationId,
        rate: f64,
        concurrent: u32,
        now: Instant,
    ) -> Self {
        let bucket = OrganisationBucket {
            rate,
            concurrent,
            tokens: rate * BURST_SECONDS / f64::from(self.daemons),
            filled: now,
            in_flight: 0,
            demand: 0.0,
            demand_at: now,
            others: BTreeMap::new(),
        };
        self.buckets.lock().expect("no holder of the lock panics").insert(id.clone(), bucket);
        self
    }

    fn with_bucket<T>(
        &self,
        id: &OrganisationId,
        action: impl FnOnce(&mut OrganisationBucket) -> T,
    ) -> Option<T> {
        let mut buckets = self.buckets.lock().expect("no holder of the lock panics");
        buckets.get_mut(id).map(action)
    }

    /// Admits or refuses a request of the given cost.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request exceeds and, for the rate, the time after which to retry.
    pub fn admit(
        &self,
        id: &OrganisationId,
        cost: f64,
        now: Instant,
    ) -> Result<LimitTicket, LimitRequestError> {
        let daemons = f64::from(self.daemons);
        self.with_bucket(id, |bucket| bucket.admit(cost, daemons, now))
            .ok_or(LimitRequestError::Unknown)??;
        Ok(LimitTicket { limiter: self.clone(), organisation: id.clone() })
    }

    /// Returns the demand of each organisation at this daemon, to be sent to other daemons.
    pub fn demand(&self, now: Instant) -> Vec<OrganisationUse> {
        let buckets = self.buckets.lock().expect("no holder of the lock panics");
        buckets
            .iter()
            .map(|(id, bucket)| (id, bucket.decayed_demand(now)))
            .filter(|(_, demand)| *demand > 0.01)
            .map(|(id, demand)| OrganisationUse { o: id.clone(), r: demand })
            .collect()
    }

    /// Returns the demand of each organisation in a zone, and the number of daemons that it covers.
    /// It sums the demand at this daemon and the fresh reports of single daemons of the zone,
    /// except those of one daemon. It is sent to daemons that receive demand by zones.
    pub fn zone_demand(
        &self,
        zone: &ZoneId,
        except: &DaemonId,
        now: Instant,
    ) -> (u32, Vec<OrganisationUse>) {
        let buckets = self.buckets.lock().expect("no holder of the lock panics");
        let mut daemons = 1;
        let mut uses = Vec::new();
        for (id, bucket) in buckets.iter() {
            let reported = bucket.others.iter().filter(|(sender, other)| {
                other.daemons == 1
                    && other.zone == *zone
                    && other.is_fresh(now)
                    && **sender != **except
            });
            let reported: Vec<&OtherDemand> = reported.map(|(_, other)| other).collect();
            daemons = 1 + u32::try_from(reported.len()).unwrap_or(0);
            let demand =
                bucket.decayed_demand(now) + reported.iter().map(|other| other.demand).sum::<f64>();
            if demand > 0.01 {
                uses.push(OrganisationUse { o: id.clone(), r: demand });
            }
        }
        (daemons, uses)
    }

    /// Records the demand that another daemon reports for itself or for its whole zone.
    pub fn record_demand(
        &self,
        sender: &str,
        zone: &ZoneId,
        daemons: u32,
        uses: &[OrganisationUse],
        now: Instant,
    ) {
        let mut buckets = self.buckets.lock().expect("no holder of the lock panics");
        for (id, bucket) in buckets.iter_mut() {
            let demand = uses.iter().find(|entry| entry.o == *id).map_or(0.0, |entry| entry.r);
            if daemons > 1 {
                // The sum of the zone includes what its daemons reported singly.
                bucket.others.retain(|_, other| other.zone != *zone || other.daemons > 1);
            }
            let other = OtherDemand { zone: zone.clone(), daemons, demand, at: now };
            bucket.others.insert(sender.to_owned(), other);
        }
    }
}

impl OrganisationBucket {
    fn decayed_demand(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand * (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// Returns this daemon's share of the organisation's limits, from 0 to 1.
    fn share(&self, daemons: f64, now: Instant) -> f64 {
        let fresh: Vec<&OtherDemand> =
            self.others.values().filter(|other| other.is_fresh(now)).collect();
        let reporting: u32 = fresh.iter().map(|other| other.daemons).sum();
        let even = 1.0 / daemons;
        // Daemons without a fresh report may be using their even share.
        let unreported = (daemons - 1.0 - f64::from(reporting)).max(0.0) * even;
        let local = self.decayed_demand(now);
        let total = local + fresh.iter().map(|other| other.demand).sum::<f64>();
        let by_demand = if total > 0.0 { local / total } else { even };
        let floor = FLOOR_SHARE * even;
        ((1.0 - unreported) * (floor + (1.0 - FLOOR_SHARE) * by_demand)).max(floor)
    }

    fn admit(&mut self, cost: f64, daemons: f64, now: Instant) -> Result<(), LimitRequestError> {
        self.demand = self.decayed_demand(now) + cost / DEMAND_WINDOW.as_secs_f64();
        self.demand_at = now;
        let share = self.share(daemons, now);
        let rate = self.rate * share;
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        let max = (rate * BURST_SECONDS).max(cost);
        self.tokens = (self.tokens + elapsed * rate).min(max);
        let limit = ((f64::from(self.concurrent) * share).ceil() as u32).max(1);
        if self.in_flight >= limit {
            return Err(LimitRequestError::TooMany { limit });
        }
        if self.tokens < cost {
            let wait = (cost - self.tokens) / rate.max(f64::MIN_POSITIVE);
            let retry_after = Duration::from_secs_f64(wait.min(3600.0));
            return Err(LimitRequestError::RateUsed { retry_after });
        }
        self.tokens -= cost;
        self.in_flight += 1;
        Ok(())
    }
}
