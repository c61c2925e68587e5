//! Full configurations with a version that only increases.
//!
//! The document is stored as the operator sent it, so that it can be read back
//! unchanged. It is not interpreted here: it is checked before it is proposed.
//!
//! Invariant: the stored version never decreases, and the text of a version
//! never changes.

use hollowbarrow_log::StateMachine;
use hollowbarrow_schema::{DeploymentDocument, EntryPayload, LogEntry, ProposalOutcome, Term};
use serde::{Deserialize, Serialize};

use crate::{restore_cbor, to_cbor};

/// State machine of the log of full configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentState {
    newest: Option<DeploymentDocument>,
    /// Term of the leader that proposed the first configuration. Unknown in the snapshots of releases
    /// that did not store it.
    #[serde(default)]
    first_term: Option<Term>,
}

impl DeploymentState {
    /// Creates a state without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration with the highest version, if any.
    pub fn newest(&self) -> Option<&DeploymentDocument> {
        self.newest.as_ref()
    }

    /// Returns the stored version, 0 if there is no configuration.
    pub fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |document| document.version)
    }

    /// Returns whether there may have been a configuration before this term, so that another leader may
    /// have acted on one.
    pub fn is_older_than(&self, term: Term) -> bool {
        self.newest.is_some() && self.first_term != Some(term)
    }
}

impl StateMachine for DeploymentState {
    fn apply(&mut self, entry: &LogEntry) -> ProposalOutcome {
        if let EntryPayload::Deployment(document) = &entry.payload
            && document.version > self.version()
        {
            if self.newest.is_none() {
                self.first_term = Some(entry.term);
            }
            self.newest = Some(document.clone());
        }
        ProposalOutcome::Held
    }

    fn to_snapshot(&self) -> Vec<u8> {
        to_cbor(self)
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        restore_cbor(self, snapshot)
    }
}
