//! Samples of gateways that a gateway is sent as peers through which it may reach workers.
//!
//! A gateway that needs peers for a service is sent those that reach it, often enough to find one
//! within seconds. Others are sent a sample in advance, because only a gateway that has peers can
//! tell the loss of its own path from the loss of workers.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, GatewayPlace, ZoneId};
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::time::Instant;

/// Time between two samples for a gateway that needs peers, or that knows only a few.
const SHORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two samples for other gateways.
const LONG_INTERVAL: Duration = Duration::from_secs(5);
/// Gateways of the recipient's own zone in a sample, and of other zones, for each service for which
/// the recipient needs peers.
const SAMPLED_PEERS: usize = 4;

/// A gateway that may be in samples.
#[derive(Clone, Copy, Debug)]
pub struct PeerCandidate<'a> {
    /// Its name.
    pub id: &'a DaemonId,
    /// Its zone.
    pub zone: &'a ZoneId,
    /// Services whose workers it does not reach, so that it can carry no tunnels to them.
    pub unreached: &'a [String],
}

impl PeerCandidate<'_> {
    fn reaches(&self, service: &str) -> bool {
        !self.unreached.iter().any(|unreached| unreached == service)
    }

    fn to_place(self) -> GatewayPlace {
        GatewayPlace { id: self.id.clone(), zone: self.zone.clone() }
    }
}

/// Draws a sample for a gateway in a zone that needs peers for these services. If it needs none,
/// those that reach all services come first.
pub fn draw_sample(
    zone: &ZoneId,
    needed: &[String],
    mut candidates: Vec<PeerCandidate<'_>>,
    rng: &mut impl Rng,
) -> Vec<GatewayPlace> {
    candidates.shuffle(rng);
    candidates.sort_by_key(|candidate| !candidate.unreached.is_empty());
    if needed.is_empty() {
        return take_of_zones(zone, candidates.into_iter());
    }
    let of_service = |service: &String| {
        let reaching = candidates.iter().filter(|candidate| candidate.reaches(service));
        take_of_zones(zone, reaching.copied())
    };
    let drawn = needed.iter().flat_map(of_service).map(|place| (place.id.clone(), place));
    drawn.collect::<BTreeMap<_, _>>().into_values().collect()
}

fn take_of_zones<'a>(
    zone: &ZoneId,
    candidates: impl Iterator<Item = PeerCandidate<'a>>,
) -> Vec<GatewayPlace> {
    let (near, far): (Vec<_>, Vec<_>) = candidates.partition(|candidate| candidate.zone == zone);
    let near = near.into_iter().take(SAMPLED_PEERS);
    near.chain(far.into_iter().take(SAMPLED_PEERS)).map(PeerCandidate::to_place).collect()
}

/// When a gateway was last sent a sample, and how large that was.
#[derive(Clone, Copy, Debug, Default)]
pub struct SampleSchedule(Option<(Instant, usize)>);

impl SampleSchedule {
    /// Returns whether a sample may be due. `needed` tells whether the gateway needs peers.
    pub fn is_due(&self, needed: bool, now: Instant) -> bool {
        let Some((sent, size)) = self.0 else { return true };
        let short = needed || size < SAMPLED_PEERS;
        let interval = if short { SHORT_INTERVAL } else { LONG_INTERVAL };
        now.saturating_duration_since(sent) >= interval
    }

    /// Returns whether a sample of this size is to be sent when [`is_due`](Self::is_due) holds, and
    /// records it as sent if so. One that adds nothing waits for the long interval.
    pub fn record(&mut self, needed: bool, size: usize, now: Instant) -> bool {
        let is_larger = self.0.is_none_or(|(_, former)| size > former);
        let is_old =
            self.0.is_none_or(|(sent, _)| now.saturating_duration_since(sent) >= LONG_INTERVAL);
        if size == 0 || !(needed || is_larger || is_old) {
            return false;
        }
        self.0 = Some((now, size));
        true
    }
}
