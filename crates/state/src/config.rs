//! The accepted configuration.
//!
//! Each object carries the log index of its last change as its revision. A
//! change made against another revision than the present one loses, and is
//! told who won. The outcome of each change is remembered under the change's
//! own identity, so that a resent change gets the first one's answer.
//!
//! Invariant: revisions of an object only grow, and the outcome stored for a
//! change never changes.

use std::collections::{BTreeMap, VecDeque};

use hollowbarrow_log::StateMachine;
use hollowbarrow_schema::settings::check_group;
use hollowbarrow_schema::{
    ChangeConflict, ChangeId, ChangeOutcome, ConfigChange, ConfigCommand, EndpointSpec,
    EntryPayload, FieldFault, GroupName, GroupSpec, LabelChange, Labels, LogEntry, LogIndex,
    NodeId, ProposalOutcome, Quota, Revision,
};
use serde::{Deserialize, Serialize};

/// How many changes' outcomes are remembered: seven hours of them at the target size. A change is
/// sent again within minutes or not at all.
const REMEMBERED_CHANGES: usize = 16_384;

/// An object with its revision and who last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded<T> {
    /// The object.
    pub value: T,
    /// Log index of its last change.
    pub revision: Revision,
    /// Who made the last change.
    pub author: String,
}

/// What became of a change, in little room for the common case.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RememberedOutcome {
    Accepted(Revision),
    Other(Box<ChangeOutcome>),
}

impl RememberedOutcome {
    fn new(outcome: &ChangeOutcome) -> Self {
        match outcome {
            ChangeOutcome::Accepted(revision) => Self::Accepted(*revision),
            other => Self::Other(Box::new(other.clone())),
        }
    }

    fn to_outcome(&self) -> ChangeOutcome {
        match self {
            Self::Accepted(revision) => ChangeOutcome::Accepted(*revision),
            Self::Other(outcome) => (**outcome).clone(),
        }
    }
}

/// State machine of the configuration's log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    groups: BTreeMap<GroupName, Recorded<GroupSpec>>,
    labels: BTreeMap<NodeId, Recorded<Labels>>,
    endpoints: BTreeMap<String, Recorded<EndpointSpec>>,
    quotas: BTreeMap<GroupName, Recorded<Quota>>,
    outcomes: BTreeMap<ChangeId, RememberedOutcome>,
    order: VecDeque<ChangeId>,
    applied: LogIndex,
}

impl ConfigState {
    /// Creates an empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Groups by name.
    pub fn groups(&self) -> &BTreeMap<GroupName, Recorded<GroupSpec>> {
        &self.groups
    }

    /// Labels that operators have set, by node.
    pub fn labels(&self) -> &BTreeMap<NodeId, Recorded<Labels>> {
        &self.labels
    }

    /// Outside endpoints by name.
    pub fn endpoints(&self) -> &BTreeMap<String, Recorded<EndpointSpec>> {
        &self.endpoints
    }

    /// Replicas that each availability zone is to run, by group.
    pub fn quotas(&self) -> &BTreeMap<GroupName, Recorded<Quota>> {
        &self.quotas
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Number of changes whose outcome is remembered.
    pub fn remembered(&self) -> usize {
        self.order.len()
    }

    /// Applies one change at a log index and returns what came of it.
    pub fn apply_change(&mut self, index: LogIndex, change: &ConfigChange) -> ChangeOutcome {
        if let Some(outcome) = self.outcomes.get(&change.id) {
            return outcome.to_outcome();
        }
        let outcome = self.decide(index, change);
        self.remember(&change.id, &outcome);
        outcome
    }

    fn decide(&mut self, index: LogIndex, change: &ConfigChange) -> ChangeOutcome {
        let faults = command_faults(&change.command);
        if !faults.is_empty() {
            return ChangeOutcome::Invalid(faults);
        }
        let object = change.command.object();
        let present = self.revision_of(&change.command);
        if change.base.is_some_and(|base| base != present) {
            let winner = self.present_command(&change.command);
            return ChangeOutcome::Conflict(ChangeConflict {
                object,
                wanted: change.base.unwrap_or_default(),
                found: present,
                theirs: winner.as_ref().map(|winner| winner.value.clone()),
                author: winner.map(|winner| winner.author).unwrap_or_default(),
            });
        }
        let revision = Revision(*index);
        self.perform(&change.command, revision, &change.author);
        ChangeOutcome::Accepted(revision)
    }

    /// The command that would make the object what it is now, with who made it so; none where it
    /// does not exist.
    fn present_command(&self, command: &ConfigCommand) -> Option<Recorded<ConfigCommand>> {
        fn remade<T: Clone>(
            recorded: Option<&Recorded<T>>,
            remake: impl Fn(T) -> ConfigCommand,
        ) -> Option<Recorded<ConfigCommand>> {
            recorded.map(|recorded| Recorded {
                value: remake(recorded.value.clone()),
                revision: recorded.revision,
                author: recorded.author.clone(),
            })
        }
        match command {
            ConfigCommand::PutGroup(GroupSpec { name, .. }) | ConfigCommand::DeleteGroup(name) => {
                remade(self.groups.get(name), ConfigCommand::PutGroup)
            }
            ConfigCommand::ChangeLabels(change) => remade(self.labels.get(&change.node), |set| {
                let node = change.node.clone();
                ConfigCommand::ChangeLabels(LabelChange { node, set, remove: Vec::new() })
            }),
            ConfigCommand::PutEndpoint(EndpointSpec { name, .. })
            | ConfigCommand::DeleteEndpoint(name) => {
                remade(self.endpoints.get(name), ConfigCommand::PutEndpoint)
            }
            ConfigCommand::SetQuota(quota) => {
                remade(self.quotas.get(&quota.group), ConfigCommand::SetQuota)
            }
        }
    }

    /// Performs a command on a copy of the state, to see what would follow from it.
    pub fn try_command(&mut self, command: &ConfigCommand) {
        let revision = Revision(*self.applied + 1);
        self.perform(command, revision, "dry run");
    }

    /// Present revision of the object that a command changes, 0 where it does not exist.
    pub fn revision_of(&self, command: &ConfigCommand) -> Revision {
        let revision = match command {
            ConfigCommand::PutGroup(spec) => self.groups.get(&spec.name).map(|r| r.revision),
            ConfigCommand::DeleteGroup(name) => self.groups.get(name).map(|r| r.revision),
            ConfigCommand::ChangeLabels(change) => {
                self.labels.get(&change.node).map(|r| r.revision)
            }
            ConfigCommand::PutEndpoint(spec) => self.endpoints.get(&spec.name).map(|r| r.revision),
            ConfigCommand::DeleteEndpoint(name) => self.endpoints.get(name).map(|r| r.revision),
            ConfigCommand::SetQuota(quota) => self.quotas.get(&quota.group).map(|r| r.revision),
        };
        revision.unwrap_or_default()
    }

    fn perform(&mut self, command: &ConfigCommand, revision: Revision, author: &str) {
        fn record<T: Clone>(value: &T, revision: Revision, author: &str) -> Recorded<T> {
            Recorded { value: value.clone(), revision, author: author.to_owned() }
        }
        match command {
            ConfigCommand::PutGroup(spec) => {
                self.groups.insert(spec.name.clone(), record(spec, revision, author));
            }
            ConfigCommand::DeleteGroup(name) => {
                self.groups.remove(name);
                self.quotas.remove(name);
            }
            ConfigCommand::ChangeLabels(change) => {
                let mut labels = self
                    .labels
                    .get(&change.node)
                    .map(|r| r.value.clone())
                    .unwrap_or(Labels(BTreeMap::new()));
                labels.0.extend(change.set.0.clone());
                labels.0.retain(|key, _| !change.remove.contains(key));
                self.labels.insert(change.node.clone(), record(&labels, revision, author));
            }
            ConfigCommand::PutEndpoint(spec) => {
                self.endpoints.insert(spec.name.clone(), record(spec, revision, author));
            }
            ConfigCommand::DeleteEndpoint(name) => {
                self.endpoints.remove(name);
            }
            ConfigCommand::SetQuota(quota) => {
                // A quota for a group that was deleted meanwhile would outlive it.
                if self.groups.contains_key(&quota.group) {
                    self.quotas.insert(quota.group.clone(), record(quota, revision, author));
                }
            }
        }
    }

    fn remember(&mut self, id: &ChangeId, outcome: &ChangeOutcome) {
        self.outcomes.insert(id.clone(), RememberedOutcome::new(outcome));
        self.order.push_back(id.clone());
        if self.order.len() > REMEMBERED_CHANGES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}

/// What is wrong with a command regardless of the present state.
pub(crate) fn command_faults(command: &ConfigCommand) -> Vec<FieldFault> {
    match command {
        ConfigCommand::PutGroup(spec) => check_group(spec),
        ConfigCommand::PutEndpoint(spec)
            if spec.address.parse::<std::net::SocketAddr>().is_err() =>
        {
            vec![FieldFault {
                field: "address".to_owned(),
                line: None,
                found: format!("{:?}", spec.address),
                allowed: "an IP number and port".to_owned(),
            }]
        }
        ConfigCommand::ChangeLabels(change) if change.node.is_empty() => vec![FieldFault {
            field: "node".to_owned(),
            line: None,
            found: "an empty name".to_owned(),
            allowed: "the name of a node".to_owned(),
        }],
        _ => Vec::new(),
    }
}

impl StateMachine for ConfigState {
    fn apply(&mut self, entry: &LogEntry) -> ProposalOutcome {
        self.applied = entry.index;
        match &entry.payload {
            EntryPayload::Config(change) => {
                ProposalOutcome::Config(self.apply_change(entry.index, change))
            }
            _ => ProposalOutcome::Lost,
        }
    }

    fn to_snapshot(&self) -> Vec<u8> {
        crate::to_cbor(self)
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        crate::restore_cbor(self, snapshot)
    }
}
