//! Whether this daemon may act on the configuration that it holds.
//!
//! After its start a daemon holds what it knows to be committed, which may be older than what was
//! acknowledged, or nothing if it has no disk. Once a leader has confirmed since then that it holds
//! everything, it goes on by what it holds, also while it is cut off.
//!
//! Invariant: until a leader has confirmed it, what only the configuration allows is not used while
//! a majority of the voters may be in contact, because one of them may hold a later change. A daemon
//! that is cut off from them cannot learn of one, and uses what it holds.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use hollowbarrow_schema::LogIndex;
use tokio::time::Instant;

use crate::core::DaemonCore;

/// Interval at which the standing is determined until it is confirmed.
const STANDING_INTERVAL: Duration = Duration::from_millis(50);

/// Standing of the configuration that a daemon holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ConfigStanding {
    /// No leader has confirmed it since the start, and one may do so.
    #[default]
    Waiting,
    /// No leader has confirmed it since the start, and the daemon is cut off from a majority of the
    /// voters.
    CutOff,
    /// A leader has confirmed it since the start.
    Confirmed,
}

/// The current standing, shared among the tasks of a daemon.
#[derive(Debug, Default)]
pub(crate) struct SharedStanding(AtomicU8);

impl SharedStanding {
    /// Returns the standing that was determined last.
    pub(crate) fn get(&self) -> ConfigStanding {
        let stored = self.0.load(Ordering::Relaxed);
        let all = [ConfigStanding::CutOff, ConfigStanding::Confirmed];
        all.into_iter().find(|standing| *standing as u8 == stored).unwrap_or_default()
    }

    /// Sets the standing, and returns whether it differs from the last one.
    fn replace(&self, standing: ConfigStanding) -> bool {
        self.0.swap(standing as u8, Ordering::Relaxed) != standing as u8
    }
}

impl DaemonCore {
    /// Returns for how long after the start a confirmation, or a sign of the voters, is awaited.
    pub(crate) fn is_starting(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) <= self.confirmation_validity()
    }

    fn determine_standing(&self, now: Instant) -> ConfigStanding {
        if self.config_log.view().complete.is_some() {
            ConfigStanding::Confirmed
        } else if self.is_starting(now) || self.voters_by_contact(now).has_majority() {
            ConfigStanding::Waiting
        } else {
            ConfigStanding::CutOff
        }
    }
}

/// Determines the standing of the configuration until it is confirmed.
pub(crate) async fn follow_standing(core: Arc<DaemonCore>) {
    loop {
        let standing = core.determine_standing(Instant::now());
        if standing == ConfigStanding::Confirmed {
            core.rebuild_routes();
        }
        if core.standing.replace(standing) {
            let LogIndex(applied) = core.config_log.view().applied;
            log::info!("event=configuration_standing standing={standing:?} applied={applied}");
        }
        if standing == ConfigStanding::Confirmed {
            return;
        }
        tokio::time::sleep(STANDING_INTERVAL).await;
    }
}
