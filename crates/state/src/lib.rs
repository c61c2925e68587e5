//! Replicated state of the daemons, as state machines over the replicated log.
//!
//! [`ConfigState`] is the accepted configuration; [`ClaimState`] records which
//! non-repeatable requests were granted the right to run; [`DeploymentState`]
//! holds the full configuration with the highest version. All are
//! deterministic: they depend only on log entries, never on a clock or a random
//! number.

mod claims;
mod config;
mod deployment;

pub use claims::ClaimState;
pub use config::{ConfigState, Recorded};
pub use deployment::DeploymentState;

/// Replaces a state machine by a decoded snapshot; returns false if it cannot be decoded.
fn restore_cbor<T: serde::de::DeserializeOwned>(state: &mut T, snapshot: &[u8]) -> bool {
    let read = ciborium::from_reader(snapshot);
    read.map(|restored| *state = restored).is_ok()
}

/// Encodes a state machine for a snapshot.
fn to_cbor<T: serde::Serialize>(state: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(state, &mut bytes).expect("writing to memory does not fail");
    bytes
}
