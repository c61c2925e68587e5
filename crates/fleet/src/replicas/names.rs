//! Names of replicas. They encode kind, model and epoch, so that a new leader can recover these
//! from workers' reports.

use hollowbarrow_schema::{Epoch, ModelName};

/// Purpose of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaKind {
    /// It accepts requests.
    Serving,
    /// It is a single worker that holds the weights, ready to replace a lost member.
    Standby,
}

/// Name of a replica: its kind, model and epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaName {
    /// Its purpose.
    pub kind: ReplicaKind,
    /// Its model.
    pub model: ModelName,
    /// Its epoch, which is unique to the replica.
    pub epoch: Epoch,
}

const SERVING_PREFIX: &str = "serving";
const STANDBY_PREFIX: &str = "standby";

impl ReplicaName {
    /// Formats the name as it is sent to workers.
    pub fn to_text(&self) -> String {
        let prefix = match self.kind {
            ReplicaKind::Serving => SERVING_PREFIX,
            ReplicaKind::Standby => STANDBY_PREFIX,
        };
        format!("{prefix}.{}.{}", *self.epoch, *self.model)
    }

    /// Parses a name that a worker reported; returns `None` if it does not have this format.
    pub fn from_text(text: &str) -> Option<Self> {
        let mut parts = text.splitn(3, '.');
        let kind = match parts.next()? {
            SERVING_PREFIX => ReplicaKind::Serving,
            STANDBY_PREFIX => ReplicaKind::Standby,
            _ => return None,
        };
        let epoch = Epoch(parts.next()?.parse().ok()?);
        let model = ModelName::from(parts.next()?);
        Some(Self { kind, model, epoch })
    }
}
