//! Names of replicas, from which a new leader learns what they are.

use hollowbarrow_schema::{Epoch, ModelName};

/// What a replica is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaKind {
    /// It takes requests.
    Serving,
    /// It is one worker that holds the weights, ready to replace a lost member.
    Standby,
}

/// Name of a replica: what it is for, its model and its epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaName {
    /// What it is for.
    pub kind: ReplicaKind,
    /// Its model.
    pub model: ModelName,
    /// Its epoch, which no other replica ever has.
    pub epoch: Epoch,
}

const SERVING_PREFIX: &str = "serving";
const STANDBY_PREFIX: &str = "standby";

impl ReplicaName {
    /// The name as workers are told it.
    pub fn to_text(&self) -> String {
        let prefix = match self.kind {
            ReplicaKind::Serving => SERVING_PREFIX,
            ReplicaKind::Standby => STANDBY_PREFIX,
        };
        format!("{prefix}.{}.{}", *self.epoch, *self.model)
    }

    /// Reads a name that a worker reported; none where it is not one of ours.
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
