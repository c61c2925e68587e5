//! The accepted configuration.
//!
//! The revision of an object is the log index of its last change. A change that
//! is based on another revision than the current one is rejected as a conflict,
//! with the current value and its author. The outcome of each change is stored
//! under the change's id, so that a change that is sent again gets the same
//! outcome.
//!
//! Invariant: revisions of an object only increase, and the stored outcome of a
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

/// Number of changes whose outcomes are stored: the changes of seven hours at the target size. A
/// change is sent again within minutes or not at all.
const REMEMBERED_CHANGES: usize = 16_384;

/// An object with its revision and the author of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded<T> {
    /// The object.
    pub value: T,
    /// Log index of the last change.
    pub revision: Revision,
    /// Author of the last change.
    pub author: String,
}

/// Stored outcome of a change, small in the common case.
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

/// State machine of the configuration log.
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

    /// Returns the groups by name.
    pub fn groups(&self) -> &BTreeMap<GroupName, Recorded<GroupSpec>> {
        &self.groups
    }

    /// Returns the labels set by operators, by node.
    pub fn labels(&self) -> &BTreeMap<NodeId, Recorded<Labels>> {
        &self.labels
    }

    /// Returns the external endpoints by name.
    pub fn endpoints(&self) -> &BTreeMap<String, Recorded<EndpointSpec>> {
        &self.endpoints
    }

    /// Returns the numbers of replicas that each availability zone must run, by group.
    pub fn quotas(&self) -> &BTreeMap<GroupName, Recorded<Quota>> {
        &self.quotas
    }

    /// Returns the index of the last applied entry.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the number of changes whose outcome is stored.
    pub fn remembered(&self) -> usize {
        self.order.len()
    }

    /// Applies one change at a log index and returns its outcome.
    pub fn apply_change(&mut self, index: LogIndex, change: &ConfigChange) -> ChangeOutcome {
        if let Some(outcome) = self.outcomes.get(&change.id) {
            return outcome.to_outcome();
        }
        let outcome = self.decide(index, change);
        self.store_outcome(&change.id, &outcome);
        outcome
    }

    fn decide(&mut self, index: LogIndex, change: &ConfigChange) -> ChangeOutcome {
        let faults = command_faults(&change.command);
        if !faults.is_empty() {
            return ChangeOutcome::Invalid(faults);
        }
        let object = change.command.object();
        let current = self.revision_of(&change.command);
        if change.base.is_some_and(|base| base != current) {
            let winner = self.current_command(&change.command);
            return ChangeOutcome::Conflict(ChangeConflict {
                object,
                wanted: change.base.unwrap_or_default(),
                found: current,
                theirs: winner.as_ref().map(|winner| winner.value.clone()),
                author: winner.map(|winner| winner.author).unwrap_or_default(),
            });
        }
        let revision = Revision(*index);
        self.execute(&change.command, revision, &change.author);
        ChangeOutcome::Accepted(revision)
    }

    /// Returns the command that would create the object in its current state, with its revision and
    /// author; none if the object does not exist.
    fn current_command(&self, command: &ConfigCommand) -> Option<Recorded<ConfigCommand>> {
        fn to_command<T: Clone>(
            recorded: Option<&Recorded<T>>,
            create: impl Fn(T) -> ConfigCommand,
        ) -> Option<Recorded<ConfigCommand>> {
            recorded.map(|recorded| Recorded {
                value: create(recorded.value.clone()),
                revision: recorded.revision,
                author: recorded.author.clone(),
            })
        }
        match command {
            ConfigCommand::PutGroup(GroupSpec { name, .. }) | ConfigCommand::DeleteGroup(name) => {
                to_command(self.groups.get(name), ConfigCommand::PutGroup)
            }
            ConfigCommand::ChangeLabels(change) => {
                to_command(self.labels.get(&change.node), |set| {
                    let node = change.node.clone();
                    ConfigCommand::ChangeLabels(LabelChange { node, set, remove: Vec::new() })
                })
            }
            ConfigCommand::PutEndpoint(EndpointSpec { name, .. })
            | ConfigCommand::DeleteEndpoint(name) => {
                to_command(self.endpoints.get(name), ConfigCommand::PutEndpoint)
            }
            ConfigCommand::SetQuota(quota) => {
                to_command(self.quotas.get(&quota.group), ConfigCommand::SetQuota)
            }
        }
    }

    /// Applies a command without checks and without storing its outcome, for a dry run on a copy of
    /// the state.
    pub fn try_command(&mut self, command: &ConfigCommand) {
        let revision = Revision(*self.applied + 1);
        self.execute(command, revision, "dry run");
    }

    /// Returns the current revision of the object that a command changes, 0 if it does not exist.
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

    fn execute(&mut self, command: &ConfigCommand, revision: Revision, author: &str) {
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
                // A quota for a group that has been deleted would never be removed.
                if self.groups.contains_key(&quota.group) {
                    self.quotas.insert(quota.group.clone(), record(quota, revision, author));
                }
            }
        }
    }

    fn store_outcome(&mut self, id: &ChangeId, outcome: &ChangeOutcome) {
        self.outcomes.insert(id.clone(), RememberedOutcome::new(outcome));
        self.order.push_back(id.clone());
        if self.order.len() > REMEMBERED_CHANGES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}

/// Returns the faults of a command that do not depend on the current state.
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
