//! Chooses the primary controller, through which a gateway receives views.
//!
//! Messages of the leader and the other controllers reach each gateway once, through its primary
//! controller, which is in the gateway's zone if one is available. So the traffic between zones
//! does not grow with the number of gateways.
//!
//! Invariant: a primary controller passes the leader's views on. One that stops doing so, because
//! it terminated or is partitioned from the leader, is replaced; without a primary controller the
//! gateway sends its hello to every controller.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{ControllerPlace, DaemonId, ZoneId};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time without a view after which the primary controller is replaced.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(700);

/// Selects the primary controller among those that pass views on to this gateway.
#[derive(Clone, Debug)]
pub struct PrimarySelector {
    local: DaemonId,
    zone: ZoneId,
    last_views: BTreeMap<DaemonId, Instant>,
    zones: BTreeMap<DaemonId, ZoneId>,
    current: Option<DaemonId>,
}

impl PrimarySelector {
    /// Creates the selector of a gateway in this zone, which has received no view yet.
    pub fn new(local: &DaemonId, zone: &ZoneId) -> Self {
        Self {
            local: local.clone(),
            zone: zone.clone(),
            last_views: BTreeMap::new(),
            zones: BTreeMap::new(),
            current: None,
        }
    }

    /// Records a view that a controller passed on, with the zone of each controller.
    pub fn record_view(&mut self, from: &DaemonId, places: &[ControllerPlace], now: Instant) {
        self.last_views.insert(from.clone(), now);
        self.zones = places.iter().map(|place| (place.id.clone(), place.zone.clone())).collect();
    }

    /// Chooses and returns the primary controller; `None` while no controller passes views on.
    pub fn choose(&mut self, now: Instant) -> Option<DaemonId> {
        self.last_views.retain(|_, at| now.saturating_duration_since(*at) < PRIMARY_TIMEOUT);
        let kept = self.current.take().filter(|primary| self.last_views.contains_key(primary));
        // Within a zone the current one is kept.
        let precedence = |id: &&DaemonId| {
            (self.is_same_zone(id), kept.as_ref() == Some(*id), self.preference(id))
        };
        self.current = self.last_views.keys().max_by_key(precedence).cloned();
        self.current.clone()
    }

    fn is_same_zone(&self, id: &DaemonId) -> bool {
        self.zones.get(id) == Some(&self.zone)
    }

    /// Returns a pseudo-random preference that spreads the gateways of a zone over its controllers.
    fn preference(&self, id: &DaemonId) -> u64 {
        xxh3_64(format!("{} {}", *self.local, **id).as_bytes())
    }
}
