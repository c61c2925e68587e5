//! Index of the workers that can take requests, built from their reports.
//!
//! A replica is a candidate while its head reports that it is open, no member reports that it
//! leaves and none has ended.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use hollowbarrow_fleet::WorkerTable;
use hollowbarrow_fleet::replicas::{ReplicaKind, ReplicaName};
use hollowbarrow_reach::UpstreamTarget;
use hollowbarrow_schema::{
    DaemonId, DomainId, Epoch, MembershipState, ModelName, ServiceName, WorkerId, WorkerReport,
    ZoneId,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest cost that a gateway's preference adds to a replica, in milliseconds.
///
/// All gateways see the same delayed loads. Without differing preferences all would choose the
/// same replica until its higher load is reported.
const PREFERENCE_MS: f64 = 30.0;

/// A worker that takes requests: one without replicas, or the head of a replica.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) id: WorkerId,
    pub(crate) address: SocketAddr,
    /// Whether the worker is in this gateway's availability zone.
    pub(crate) same_zone: bool,
    pub(crate) slots: u32,
    /// Whether the replica's members are in more than one fabric domain.
    pub(crate) cross_domain: bool,
    /// Cost from this gateway's preference, in milliseconds.
    pub(crate) bias_ms: f64,
}

impl Candidate {
    /// Returns the worker as the target of a connection.
    pub(crate) fn to_target(&self, service: &ServiceName) -> UpstreamTarget {
        let (service, name) = (service.to_string(), self.id.to_string());
        UpstreamTarget { service, name, address: self.address }
    }
}

/// The candidates by service and model, rebuilt whenever the table of workers has changed.
#[derive(Debug)]
pub(crate) struct CandidateIndex {
    zone: ZoneId,
    /// Seed of this gateway's preferences; `None` without preferences.
    seed: Option<u64>,
    revision: u64,
    replicas: HashMap<(ServiceName, ModelName), Vec<Candidate>>,
    plain: HashMap<ServiceName, Vec<Candidate>>,
}

impl CandidateIndex {
    /// Creates an empty index for a gateway in this zone.
    pub(crate) fn new(zone: &ZoneId) -> Self {
        Self {
            zone: zone.clone(),
            seed: None,
            revision: 0,
            replicas: HashMap::new(),
            plain: HashMap::new(),
        }
    }

    /// Derives preferences from the identity of the gateway.
    pub(crate) fn with_preferences(mut self, local: &DaemonId) -> Self {
        self.seed = Some(xxh3_64_with_seed(local.as_bytes(), 0));
        self
    }

    /// Returns the heads of a model's replicas.
    pub(crate) fn replicas(&self, key: &(ServiceName, ModelName)) -> &[Candidate] {
        self.replicas.get(key).map_or(&[], Vec::as_slice)
    }

    /// Returns the workers of a service without replicas.
    pub(crate) fn plain(&self, service: &ServiceName) -> &[Candidate] {
        self.plain.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all candidates with their services.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&ServiceName, &Candidate)> {
        let replicas = self.replicas.iter().map(|((service, _), all)| (service, all));
        let every = replicas.chain(self.plain.iter());
        every.flat_map(|(service, all)| all.iter().map(move |candidate| (service, candidate)))
    }

    /// Rebuilds the index if the table has changed.
    pub(crate) fn refresh(&mut self, table: &WorkerTable) {
        if self.revision == table.revision() {
            return;
        }
        self.revision = table.revision();
        self.replicas.clear();
        self.plain.clear();
        let broken = broken_epochs(table);
        let cross_domain = cross_domain_epochs(table);
        for report in table.iter().filter(|entry| !entry.superseded).map(|entry| &entry.report) {
            let Some(candidate) = self.candidate_of(report) else { continue };
            let Some(membership) = &report.membership else {
                self.plain.entry(report.service.clone()).or_default().push(candidate);
                continue;
            };
            let open = membership.rank == 0 && membership.state == MembershipState::Open;
            let name = ReplicaName::from_text(&membership.replica);
            if let Some(name) = name.filter(|name| name.kind == ReplicaKind::Serving)
                && open
                && !broken.contains(&membership.epoch)
            {
                let cross_domain = cross_domain.contains(&membership.epoch);
                let bias_ms = self.bias_of(report);
                let key = (report.service.clone(), name.model);
                let candidate = Candidate { cross_domain, bias_ms, ..candidate };
                self.replicas.entry(key).or_default().push(candidate);
            }
        }
    }

    fn candidate_of(&self, report: &WorkerReport) -> Option<Candidate> {
        if report.leaving || report.gone {
            return None;
        }
        let address = report.address.parse().ok()?;
        let same_zone = report.zone == self.zone;
        let (id, slots) = (report.id.clone(), report.slots);
        Some(Candidate { id, address, same_zone, slots, cross_domain: false, bias_ms: 0.0 })
    }

    fn bias_of(&self, report: &WorkerReport) -> f64 {
        let hash = self.seed.map(|seed| xxh3_64_with_seed(report.id.as_bytes(), seed));
        hash.map_or(0.0, |hash| hash as f64 / u64::MAX as f64 * PREFERENCE_MS)
    }
}

/// Returns the epochs of replicas with a member that leaves or has ended.
fn broken_epochs(table: &WorkerTable) -> BTreeSet<Epoch> {
    let broken = table.iter().filter(|entry| entry.report.leaving || !entry.is_available());
    broken.filter_map(|entry| entry.report.membership.as_ref()).map(|m| m.epoch).collect()
}

/// Returns the epochs of replicas whose members are in more than one fabric domain.
fn cross_domain_epochs(table: &WorkerTable) -> BTreeSet<Epoch> {
    let mut domains: HashMap<Epoch, Option<&DomainId>> = HashMap::new();
    let mut cross_domain = BTreeSet::new();
    for report in table.iter().filter(|entry| entry.is_available()).map(|entry| &entry.report) {
        let Some(membership) = &report.membership else { continue };
        let domain = report.domain.as_ref();
        if *domains.entry(membership.epoch).or_insert(domain) != domain {
            cross_domain.insert(membership.epoch);
        }
    }
    cross_domain
}
