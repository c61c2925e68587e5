//! Remembers which daemons a controller has been in contact with, also over restarts.
//!
//! The settings name a few controllers only, which may all have been replaced since the file was
//! written. A daemon that starts with such settings finds nobody; the controllers that know its
//! address find it.
//!
//! Invariant: the book is a hint. A daemon in it may be gone, and what is lost with a disk is learnt
//! again from hellos.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{ContactRecord, DaemonId};
use tokio::time::Instant;

/// Silence after which a gateway is sent the controllers: longer than two intervals between its hellos
/// to controllers that are not primary.
const CALL_AFTER: Duration = Duration::from_secs(2);
/// Silence after which a daemon is forgotten.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Number of gateways, and of controllers, that are remembered. The ones heard last are kept.
pub const MAX_CONTACTS: usize = 1024;

type LastHeard = BTreeMap<DaemonId, Instant>;

/// Gateways and other controllers, each with the time of its last hello.
#[derive(Clone, Debug, Default)]
pub struct ContactBook {
    gateways: LastHeard,
    controllers: LastHeard,
}

impl ContactBook {
    /// Creates the book of a controller that starts now, with the contacts of its former process.
    pub fn new(record: &ContactRecord, now: Instant) -> Self {
        let at_start = |ids: &[DaemonId]| ids.iter().map(|id| (id.clone(), now)).collect();
        Self { gateways: at_start(&record.gateways), controllers: at_start(&record.controllers) }
    }

    /// Records a gateway's hello.
    pub fn hear_gateway(&mut self, id: &DaemonId, now: Instant) {
        self.gateways.insert(id.clone(), now);
    }

    /// Records a controller's hello.
    pub fn hear_controller(&mut self, id: &DaemonId, now: Instant) {
        self.controllers.insert(id.clone(), now);
    }

    /// Returns the gateways that have been silent for so long that they may know no controller.
    pub fn silent_gateways(&self, now: Instant) -> Vec<DaemonId> {
        let silent = |at: &Instant| now.saturating_duration_since(*at) >= CALL_AFTER;
        let silent = self.gateways.iter().filter(|(_, at)| silent(at));
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// Forgets daemons that have been silent for too long, and the most silent ones beyond
    /// [`MAX_CONTACTS`]; returns the gateways among them.
    pub fn expire(&mut self, now: Instant) -> Vec<DaemonId> {
        expire_silent(&mut self.controllers, now);
        expire_silent(&mut self.gateways, now)
    }

    /// Returns what outlasts the process.
    pub fn to_record(&self) -> ContactRecord {
        let ids = |heard: &LastHeard| heard.keys().cloned().collect();
        ContactRecord { gateways: ids(&self.gateways), controllers: ids(&self.controllers) }
    }
}

fn expire_silent(heard: &mut LastHeard, now: Instant) -> Vec<DaemonId> {
    let mut newest_first: Vec<(Instant, DaemonId)> =
        heard.iter().map(|(id, at)| (*at, id.clone())).collect();
    newest_first.sort_by(|left, right| right.cmp(left));
    let expired = |(position, at): (usize, Instant)| {
        position >= MAX_CONTACTS || now.saturating_duration_since(at) >= RETENTION
    };
    let gone = newest_first.into_iter().enumerate();
    let gone = gone.filter(|(position, (at, _))| expired((*position, *at)));
    let gone: Vec<DaemonId> = gone.map(|(_, (_, id))| id).collect();
    gone.iter().for_each(|id| {
        heard.remove(id);
    });
    gone
}
