//! Chooses the controller through which a gateway hears of the others.
//!
//! What the leader and the other controllers tell goes to each gateway once, by way of its home:
//! a controller of its own zone where one is there. So what crosses zones does not grow with the
//! number of gateways.
//!
//! Invariant: a home passes the leader's views on. One that does not for a moment, since it ended
//! or is cut off from the leader, is given up, and every controller is asked.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{ControllerPlace, DaemonId, ZoneId};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time without a view after which a home is given up.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(700);

/// What a gateway knows of the controllers that pass views on to it.
#[derive(Clone, Debug)]
pub struct PrimarySelector {
    local: DaemonId,
    zone: ZoneId,
    last_views: BTreeMap<DaemonId, Instant>,
    zones: BTreeMap<DaemonId, ZoneId>,
    current: Option<DaemonId>,
}

impl PrimarySelector {
    /// Creates the choice of a gateway in a zone, which has heard of nobody yet.
    pub fn new(local: &DaemonId, zone: &ZoneId) -> Self {
        Self {
            local: local.clone(),
            zone: zone.clone(),
            last_views: BTreeMap::new(),
            zones: BTreeMap::new(),
            current: None,
        }
    }

    /// Notes that a controller passed a view on, which names where each controller is.
    pub fn record_view(&mut self, from: &DaemonId, places: &[ControllerPlace], now: Instant) {
        self.last_views.insert(from.clone(), now);
        self.zones = places.iter().map(|place| (place.id.clone(), place.zone.clone())).collect();
    }

    /// The home from now on; none while no controller passes views on.
    pub fn choose(&mut self, now: Instant) -> Option<DaemonId> {
        self.last_views.retain(|_, at| now.saturating_duration_since(*at) < PRIMARY_TIMEOUT);
        let kept = self.current.take().filter(|primary| self.last_views.contains_key(primary));
        // One that stays is better than another of the same zone.
        let precedence = |id: &&DaemonId| {
            (self.is_same_zone(id), kept.as_ref() == Some(*id), self.preference(id))
        };
        self.current = self.last_views.keys().max_by_key(precedence).cloned();
        self.current.clone()
    }

    fn is_same_zone(&self, id: &DaemonId) -> bool {
        self.zones.get(id) == Some(&self.zone)
    }

    /// Spreads the gateways of a zone over its controllers.
    fn preference(&self, id: &DaemonId) -> u64 {
        xxh3_64(format!("{} {}", *self.local, **id).as_bytes())
    }
}
