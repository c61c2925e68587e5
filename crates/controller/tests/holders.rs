//! When the departure of a worker, or the release of a request, may be acknowledged.

use std::collections::BTreeSet;

use hollowbarrow_controller::holders::{HeldFact, HolderLedger, ReachableDaemons, is_held};
use hollowbarrow_fleet::WorkerTable;
use hollowbarrow_schema::{
    ContentDigest, DaemonId, ServiceName, WorkerDeparture, WorkerId, WorkerReport, ZoneId,
};
use rstest::rstest;
use tokio::time::Instant;

fn ids(names: &[&str]) -> BTreeSet<DaemonId> {
    names.iter().map(|name| DaemonId::from(*name)).collect()
}

fn departure(gone: bool) -> HeldFact {
    HeldFact::from(WorkerDeparture { worker: WorkerId::from("w1"), gone })
}

#[rstest]
#[case::held_by_nobody(&[], &["c2", "c3"], &["g1"], 1, false)]
#[case::one_controller(&["c2"], &["c2", "c3"], &["g1"], 1, true)]
#[case::gateways_only(&["g1", "g2"], &["c2", "c3"], &["g1", "g2"], 1, false)]
#[case::one_of_two_losses(&["c2", "g1"], &["c2", "c3", "c4"], &["g1"], 2, false)]
#[case::two_of_two_losses(&["c2", "c4"], &["c2", "c3", "c4"], &["g1"], 2, true)]
#[case::no_losses_borne(&[], &["c2"], &["g1"], 0, false)]
#[case::all_that_are_reachable(&["c2"], &["c2"], &["g1"], 2, true)]
#[case::lost_since(&["c2"], &["c3"], &["g1"], 1, false)]
#[case::no_controller_reachable(&[], &[], &["g1"], 1, false)]
#[case::gateway_instead(&["g1"], &[], &["g1"], 1, true)]
#[case::nobody_reachable(&[], &[], &[], 1, true)]
fn is_held_cases(
    #[case] holders: &[&str],
    #[case] controllers: &[&str],
    #[case] gateways: &[&str],
    #[case] losses: usize,
    #[case] expected: bool,
) {
    let reachable = ReachableDaemons { controllers: ids(controllers), gateways: ids(gateways) };
    assert_eq!(is_held(&ids(holders), &reachable, losses), expected);
}

#[rstest]
#[case::same(departure(false), departure(false), &["c2"])]
#[case::less_is_not_enough(departure(true), departure(false), &[])]
#[case::more_is_enough(departure(false), departure(true), &["c2"])]
#[case::release(HeldFact::Released(ContentDigest(7)), HeldFact::Released(ContentDigest(7)), &["c2"])]
#[case::other(HeldFact::Released(ContentDigest(7)), HeldFact::Released(ContentDigest(8)), &[])]
fn confirm_fact(#[case] reported: HeldFact, #[case] held: HeldFact, #[case] expected: &[&str]) {
    let mut ledger = HolderLedger::new();
    ledger.begin(reported.clone());
    ledger.confirm(&DaemonId::from("c2"), &held);
    assert_eq!(ledger.holders(&reported), ids(expected));
}

#[rstest]
#[case::repeated(departure(false), &["c2"])]
#[case::deregistered_since(departure(true), &[])]
fn begin_after_confirmation(#[case] reported: HeldFact, #[case] expected: &[&str]) {
    let mut ledger = HolderLedger::new();
    ledger.begin(departure(false));
    ledger.confirm(&DaemonId::from("c2"), &departure(false));
    ledger.begin(reported.clone());
    assert_eq!(ledger.holders(&reported), ids(expected));
}

/// Guards against confirmations of an earlier release that count for the next one of the request.
#[rstest]
fn begin_after_forgetting() {
    let release = HeldFact::Released(ContentDigest(7));
    let mut ledger = HolderLedger::new();
    ledger.begin(release.clone());
    ledger.confirm(&DaemonId::from("c2"), &release);
    ledger.forget(&release);
    ledger.begin(release.clone());
    assert_eq!(ledger.holders(&release), ids(&[]));
}

#[rstest]
fn confirm_unexpected_fact() {
    let mut ledger = HolderLedger::new();
    ledger.confirm(&DaemonId::from("c2"), &departure(true));
    assert_eq!(ledger.holders(&departure(true)), ids(&[]));
}

fn report(seq: u64, leaving: bool) -> WorkerReport {
    WorkerReport {
        id: WorkerId::from("w1"),
        seq,
        recount: None,
        service: ServiceName::from("orders"),
        address: "127.0.0.1:9000".to_owned(),
        zone: ZoneId::from("a"),
        slots: 4,
        leaving,
        gone: false,
        domain: None,
        model: None,
        staged: Vec::new(),
        membership: None,
    }
}

/// Guards against confirmations of a departure that was taken back, which would count for the next
/// one.
#[rstest]
#[case::departed(true, &["c2"])]
#[case::available_again(false, &[])]
fn prune_ledger(#[case] leaving: bool, #[case] expected: &[&str]) {
    let mut table = WorkerTable::new();
    table.merge(report(1, leaving), Instant::now());
    let mut ledger = HolderLedger::new();
    ledger.begin(departure(false));
    ledger.confirm(&DaemonId::from("c2"), &departure(false));
    ledger.prune(&table);
    assert_eq!(ledger.holders(&departure(false)), ids(expected));
}
