//! Types of messages, settings and stored data, generated from `schema/hollowbarrow.json`.
//!
//! Every other crate depends on this one and it depends on none of them. The
//! module `generated` is written by `hollowbarrow-schemagen` and committed; the
//! other modules contain functions and checks on these types.
//!
//! Invariants: a `Settings` value that came from [`settings::read_settings`]
//! satisfies every rule of the schema and of [`settings::check_settings`].

#[allow(missing_docs, clippy::all, rustdoc::all)]
#[rustfmt::skip]
mod generated;
mod instance;
pub mod keys;
mod quarantine;
pub mod selector;
pub mod settings;
mod validate;

pub use generated::*;
pub use instance::{Incarnation, START_TIME_SEPARATOR};
pub use quarantine::{ParseContentError, parse_content, read_release_path, release_path};

/// Version of the messages between daemons; both ends of a connection must use the same one.
pub const PROTOCOL_VERSION: u32 = 6;

/// Label by which operators drain a node.
pub const DRAIN_LABEL: &str = "drain";

/// Text of the schema from which the types are generated.
pub const SCHEMA_TEXT: &str = include_str!("../../../schema/hollowbarrow.json");

macro_rules! text_ids {
    ($($name:ident),+) => {$(
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    )+};
}

text_ids!(
    NodeId,
    DaemonId,
    ZoneId,
    DomainId,
    GroupName,
    OrganisationId,
    ModelName,
    ChangeId,
    ServiceName,
    ClaimKey,
    WorkerId
);

impl ConfigCommand {
    /// Returns the name of the object that the command changes, unique among all kinds of objects.
    pub fn object(&self) -> String {
        match self {
            Self::PutGroup(spec) => format!("group/{}", *spec.name),
            Self::DeleteGroup(name) => format!("group/{}", **name),
            Self::ChangeLabels(change) => format!("node/{}", *change.node),
            Self::PutEndpoint(endpoint) => format!("endpoint/{}", endpoint.name),
            Self::DeleteEndpoint(name) => format!("endpoint/{name}"),
            Self::SetQuota(quota) => format!("quota/{}", *quota.group),
        }
    }
}

impl ZoneTable {
    /// Returns the key by which tables of one availability zone are ordered; a higher one supersedes
    /// a lower one.
    pub fn rank(&self) -> (Term, u64) {
        (self.term, self.version)
    }
}

impl Allocation {
    /// Returns the member that answers requests, which is the first one; an allocation is never
    /// empty.
    pub fn head(&self) -> &NodeId {
        &self.members[0]
    }

    /// Returns the name under which nodes report the weights that this allocation needs.
    pub fn weights(&self) -> String {
        weights_name(&self.model, &self.version)
    }
}

/// Returns the name under which nodes report the weights of a model version.
pub fn weights_name(model: &ModelName, version: &str) -> String {
    format!("{}@{version}", **model)
}
