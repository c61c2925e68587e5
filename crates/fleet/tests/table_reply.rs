//! Replies to reports of workers that another daemon sent.

use hollowbarrow_fleet::{TableReply, WorkerTable};
use hollowbarrow_schema::{
    FleetMessage, ServiceName, WorkerDeparture, WorkerId, WorkerReport, ZoneId,
};
use rstest::rstest;
use tokio::time::Instant;

fn report(id: &str, seq: u64, leaving: bool, gone: bool) -> WorkerReport {
    WorkerReport {
        id: WorkerId::from(id),
        seq,
        recount: None,
        service: ServiceName::from("orders"),
        address: "127.0.0.1:9000".to_owned(),
        zone: ZoneId::from("a"),
        slots: 4,
        leaving,
        gone,
        domain: None,
        model: None,
        staged: Vec::new(),
        membership: None,
    }
}

/// Merges a report after the ones that the table holds, and returns the reply.
fn reply_of(held: &[WorkerReport], received: WorkerReport) -> TableReply {
    let now = Instant::now();
    let mut table = WorkerTable::new();
    for report in held {
        table.merge(report.clone(), now);
    }
    table.merge(received.clone(), now);
    TableReply::new(&table, &[received])
}

fn confirmation(gone: bool) -> Vec<WorkerDeparture> {
    vec![WorkerDeparture { worker: WorkerId::from("w1"), gone }]
}

#[rstest]
#[case::unknown_worker(&[], report("w1", 1, true, true), true)]
#[case::known_worker(&[report("w1", 7, false, false)], report("w1", 3, true, true), true)]
#[case::draining(&[report("w1", 1, false, false)], report("w1", 2, true, false), false)]
#[case::deregistered_before(&[report("w1", 3, true, true)], report("w1", 2, true, false), true)]
#[case::superseded(&[report("w1@5", 1, false, false)], report("w1@4", 9, true, true), true)]
fn reply_confirms_departure(
    #[case] held: &[WorkerReport],
    #[case] received: WorkerReport,
    #[case] gone: bool,
) {
    let worker = received.id.clone();
    let reply = reply_of(held, received);
    assert_eq!(reply.held, vec![WorkerDeparture { worker, gone }]);
    assert_eq!(reply.lacking, Vec::new());
}

/// Guards against a confirmation of what the table does not hold: the report was older than one that
/// names the worker available.
#[rstest]
fn reply_to_stale_departure() {
    let reply = reply_of(&[report("w1", 5, false, false)], report("w1", 3, true, false));
    assert_eq!(reply, TableReply::default());
}

#[rstest]
#[case::available(&[report("w1", 1, false, false)], None)]
#[case::deregistered(&[report("w1", 2, true, true)], Some(report("w1", 5, true, true)))]
fn reply_to_available_worker(
    #[case] held: &[WorkerReport],
    #[case] expected: Option<WorkerReport>,
) {
    let reply = reply_of(held, report("w1", 5, false, false));
    assert_eq!(reply.held, Vec::new());
    assert_eq!(reply.lacking, expected.into_iter().collect::<Vec<_>>());
}

/// Guards against a report that names a superseded instance as available, sent as if it were a
/// departure.
#[rstest]
fn reply_to_superseded_worker() {
    let held = [report("w1@4", 5, false, false), report("w1@5", 1, false, false)];
    assert_eq!(reply_of(&held, report("w1@4", 6, false, false)), TableReply::default());
}

#[rstest]
fn into_messages_of_reply() {
    assert_eq!(TableReply::default().into_messages().count(), 0);
    let lacking = vec![report("w1", 5, true, true)];
    let reply = TableReply { held: confirmation(true), lacking: lacking.clone() };
    let messages: Vec<FleetMessage> = reply.into_messages().collect();
    let expected = [FleetMessage::Workers(lacking), FleetMessage::Departures(confirmation(true))];
    assert_eq!(messages, expected);
}
