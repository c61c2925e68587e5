//! Passes on what workers and operators report, before it is acknowledged.

use std::time::Duration;

use hollowbarrow_schema::{ContentDigest, DaemonId, FleetMessage, QuarantineRelease, WorkerId};
use tokio::time::Instant;

use crate::core::ControllerCore;
use crate::holders::{HOLD_TIMEOUT, HeldFact, REPEAT_INTERVAL, is_held};
use crate::sync::publish_report;

/// Waits until other daemons hold the departure that a worker has reported. Returns at once if the
/// table holds none.
pub(crate) async fn secure_departure(core: &ControllerCore, worker: &WorkerId) {
    let Some(departure) = core.fleet().table().departure(worker) else { return };
    forget_withdrawn(core);
    let publish = || {
        let report = core.fleet().table().get(worker).map(|entry| entry.report.clone());
        if let Some(report) = report {
            publish_report(core, report);
        }
    };
    secure(core, HeldFact::from(departure), publish).await;
}

/// Forgets who holds the departures of workers that have taken them back. A later departure needs
/// confirmations of its own.
pub(crate) fn forget_withdrawn(core: &ControllerCore) {
    core.holders().prune(core.fleet().table());
}

/// Waits until other daemons hold the release of a request from quarantine.
pub(crate) async fn secure_release(core: &ControllerCore, request: ContentDigest, at: Instant) {
    let publish = || {
        let age_ms = Instant::now().saturating_duration_since(at).as_millis() as u32;
        let message = FleetMessage::Releases(vec![QuarantineRelease { request, age_ms }]);
        core.links().send_to_all(&core.links().controllers(), message);
    };
    let fact = HeldFact::Released(request);
    secure(core, fact.clone(), publish).await;
    core.holders().forget(&fact);
}

/// Publishes a fact until enough daemons have confirmed it, for [`HOLD_TIMEOUT`] at most.
async fn secure(core: &ControllerCore, fact: HeldFact, publish: impl Fn()) {
    core.holders().begin(fact.clone());
    let held = tokio::time::timeout(HOLD_TIMEOUT, wait_until_held(core, &fact, publish)).await;
    if held.is_err() {
        let holders = core.holders().holders(&fact).len();
        log::warn!(
            "event=acknowledged_unconfirmed fact={:?} holders={holders}",
            format!("{fact:?}")
        );
        core.metrics.count_unconfirmed();
    }
}

async fn wait_until_held(core: &ControllerCore, fact: &HeldFact, publish: impl Fn()) {
    while !is_held_elsewhere(core, fact) {
        publish();
        let confirmed = wait_for_confirmations(core, fact);
        if tokio::time::timeout(REPEAT_INTERVAL, confirmed).await.is_ok() {
            return;
        }
    }
}

async fn wait_for_confirmations(core: &ControllerCore, fact: &HeldFact) {
    loop {
        // Registered before the check, so that a confirmation in between is not missed.
        let confirmed = core.confirmed.notified();
        if is_held_elsewhere(core, fact) {
            return;
        }
        confirmed.await;
    }
}

fn is_held_elsewhere(core: &ControllerCore, fact: &HeldFact) -> bool {
    let reachable = core.fleet().reachable(Instant::now());
    let losses = core.settings.losses as usize;
    is_held(&core.holders().holders(fact), &reachable, losses)
}

/// Records that another daemon holds facts.
pub(crate) fn record_confirmations(
    core: &ControllerCore,
    from: &DaemonId,
    facts: impl IntoIterator<Item = HeldFact>,
) {
    let mut ledger = core.holders();
    facts.into_iter().for_each(|fact| ledger.confirm(from, &fact));
    drop(ledger);
    core.confirmed.notify_waiters();
}

/// Takes over the releases that another controller passes on, and confirms them.
pub(crate) fn take_releases(
    core: &ControllerCore,
    from: &DaemonId,
    releases: &[QuarantineRelease],
    now: Instant,
) {
    let mut fleet = core.fleet();
    for release in releases {
        let age = Duration::from_millis(release.age_ms.into());
        fleet.release(release.request, now.checked_sub(age).unwrap_or(now));
    }
    drop(fleet);
    let held = releases.iter().map(|release| release.request).collect();
    core.links().send(from, FleetMessage::ReleasesHeld(held));
}
