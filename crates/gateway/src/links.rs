//! Messages between a gateway and the controllers.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_fleet::RouteTable;
use hollowbarrow_member::MemberLinks;
use hollowbarrow_routing::PERMIT_INTERVAL;
use hollowbarrow_schema::{DaemonId, DeploymentDocument, FleetMessage, GatewayHello, PeerMessage};
use tokio::time::Instant;

use crate::contact::{ContactChange, ContactTracker};
use crate::core::GatewayCore;

/// Interval between hellos to the primary controller.
const HELLO_INTERVAL: Duration = Duration::from_millis(75);
/// Number of hellos to the primary controller for each one that also goes to the others.
const HELLOS_TO_PRIMARY: u32 = 12;
/// Intervals between hellos to all controllers while there is no primary controller, or while it
/// does not deliver a configuration that the leader has published.
const BROADCAST_INTERVALS: u32 = 4;
/// Time for the primary controller to deliver a configuration before the other controllers are
/// asked: five times the longest delivery in 49 changes (45 ms from commit to activation).
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without a report after which a worker that has not departed is removed from the table.
const WORKER_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Sends hellos to controllers until the process ends.
pub(crate) async fn report_to_controllers(core: Arc<GatewayCore>, links: Arc<MemberLinks>) {
    let mut ticks = tokio::time::interval(HELLO_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut number = 0u32;
    let mut contact = ContactTracker::new(Instant::now());
    loop {
        ticks.tick().await;
        number = number.wrapping_add(1);
        let now = Instant::now();
        let version = core.version();
        log_contact(contact.observe(core.last_view(), now), &core, &links);
        let primary = core.primary(now);
        let hello = {
            let mut picker = core.picker();
            picker.prune(WORKER_RETENTION, now);
            GatewayHello {
                zone: core.settings.zone.clone(),
                home: primary.clone(),
                deployment: version,
                workers: picker.digest(),
                unreached: core.reach.unreached_services(),
                loads: picker.loads(now),
                crashes: Vec::new(),
            }
        };
        core.client.drop_expired();
        let others = links.controllers().into_iter().filter(|id| primary.as_ref() != Some(id));
        let others: Vec<DaemonId> = others.collect();
        // Without a configuration nothing can be served, so every interval is used.
        let intervals = if version == 0 { 1 } else { BROADCAST_INTERVALS };
        if primary.is_none() && !number.is_multiple_of(intervals) {
            continue;
        }
        // The records count as sent once `due` has returned them.
        let hello = GatewayHello { crashes: core.crashes().due(now), ..hello };
        if let Some(primary) = &primary {
            links.send(primary, FleetMessage::Gateway(hello.clone()));
            let lacking = core.configuration_lag(now) > DELIVERY_TIMEOUT;
            let intervals = if lacking { BROADCAST_INTERVALS } else { HELLOS_TO_PRIMARY };
            if number.is_multiple_of(intervals) {
                let without_loads = GatewayHello { loads: Vec::new(), ..hello };
                links.send_to_all(&others, FleetMessage::Gateway(without_loads));
            }
        } else {
            links.send_to_all(&others, FleetMessage::Gateway(hello));
        }
    }
}

/// Logs that a leader's views no longer arrive, or do again.
fn log_contact(change: Option<ContactChange>, core: &GatewayCore, links: &MemberLinks) {
    let (version, known) = (core.version(), links.controllers().len());
    match change {
        Some(ContactChange::Lost) => {
            log::warn!("event=views_missing version={version} controllers={known}");
        }
        Some(ContactChange::Regained { after }) => {
            let after = after.as_millis();
            log::info!(
                "event=views_received version={version} controllers={known} after_ms={after}"
            );
        }
        None => {}
    }
}

/// Sends this gateway's needs for permits, the permits that it returns and the limits that it has
/// learnt to the issuer of permits, until the process ends.
pub(crate) async fn ask_for_permits(core: Arc<GatewayCore>, links: Arc<MemberLinks>) {
    loop {
        // A waiting request is reported at once, everything else at the interval.
        let _ = tokio::time::timeout(PERMIT_INTERVAL, core.permits_requested.notified()).await;
        let (ask, issuer) = {
            let mut picker = core.picker();
            (picker.permits_due(Instant::now()), picker.issuer().cloned())
        };
        if let (Some(ask), Some(issuer)) = (ask, issuer) {
            links.send(&issuer, FleetMessage::PermitAsk(ask));
        }
    }
}

/// Handles a message from a controller.
pub(crate) fn handle_message(
    core: &GatewayCore,
    links: &MemberLinks,
    from: &DaemonId,
    message: PeerMessage,
) {
    let PeerMessage::Fleet(message) = message else { return };
    // Only controllers send messages to gateways.
    learn_controllers(links, [from]);
    match message {
        FleetMessage::Workers(reports) => {
            let reply = core.picker().merge(reports, Instant::now());
            reply.into_messages().for_each(|message| {
                links.send(from, message);
            });
        }
        FleetMessage::View(view) => {
            learn_controllers(links, view.controllers.iter().map(|place| &place.id));
            core.apply_view(from, &view, Instant::now());
        }
        FleetMessage::Controllers(known) => learn_controllers(links, &known),
        FleetMessage::Deployment(document) => install_configuration(core, from, &document),
        FleetMessage::Withdrawal(withdrawal) => {
            if core.withdraw_routes(withdrawal.version) {
                let version = withdrawal.version;
                log::warn!("event=configuration_withdrawn version={version} from={}", **from);
            }
        }
        FleetMessage::Peers(places) => core.reach.replace_peers(places),
        FleetMessage::PermitGrant(grant) => {
            core.picker().take_grant(&grant, Instant::now());
            core.permits_answered.notify_waiters();
        }
        FleetMessage::Gateway(_)
        | FleetMessage::Controller(_)
        | FleetMessage::PermitAsk(_)
        | FleetMessage::Departures(_)
        | FleetMessage::Releases(_)
        | FleetMessage::ReleasesHeld(_) => {}
    }
}

fn learn_controllers<'a>(links: &MemberLinks, ids: impl IntoIterator<Item = &'a DaemonId>) {
    for new in links.learn_controllers(ids) {
        log::info!("event=controller_learned id={}", *new);
    }
}

fn install_configuration(core: &GatewayCore, from: &DaemonId, document: &DeploymentDocument) {
    if document.version <= core.version() {
        return;
    }
    let start = Instant::now();
    match core.protocol.read_deployment(&document.text) {
        Ok(deployment) => {
            if core.install_routes(RouteTable::new(&deployment)) {
                let elapsed = start.elapsed();
                core.metrics.record_reading(elapsed);
                log::info!(
                    "event=configuration_in_force version={} from={} read_ms={}",
                    document.version,
                    **from,
                    elapsed.as_millis()
                );
            }
        }
        Err(faults) => log::error!(
            "event=configuration_unreadable version={} faults={}",
            document.version,
            faults.len()
        ),
    }
}
