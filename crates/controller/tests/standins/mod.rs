//! Reports of simulated workers.

use hollowbarrow_schema::{ServiceName, WorkerId, WorkerReport, ZoneId};

/// Returns the report of a worker of the service `chat` that is ready and idle.
pub fn report(id: &str, seq: u64) -> WorkerReport {
    WorkerReport {
        id: WorkerId::from(id),
        seq,
        recount: None,
        service: ServiceName("chat".to_owned()),
        address: "10.0.0.1:80".to_owned(),
        zone: ZoneId("a".to_owned()),
        slots: 1,
        leaving: false,
        gone: false,
        domain: None,
        model: None,
        staged: Vec::new(),
        membership: None,
    }
}
