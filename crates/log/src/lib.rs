//! The replicated durable log: elections, quorum commit, snapshots and storage.
//!
//! All consensus between daemons is in this crate. The accepted configuration
//! and the claims of non-repeatable requests are two separate logs.
//! [`LogReplica`] implements the protocol and does no input or output except
//! through its [`LogStorage`]; [`LogDriver`] runs a replica on its own thread.
//!
//! Invariants:
//!
//! - An entry is acknowledged only after the storage has synced it.
//! - An entry that a majority of voters has synced in the leader's own term is
//!   committed and never lost while a majority of disks survives.
//! - A voter whose storage failed neither votes nor acknowledges, and one whose
//!   disk was emptied counts in no quorum until it is admitted with its new disk.

mod driver;
mod electorate;
mod file;
mod leader;
mod replica;
mod storage;

pub use driver::{
    AppliedCallback, AppliedChange, CONTACT_TIMEOUT, DriverConfig, DriverInput, LogDriver, LogView,
    StateMachine,
};
pub use file::FileStorage;
pub use replica::{LogReplica, ReplicaConfig, ReplicaFault};
pub use storage::{EntryWindow, LogStorage, MemoryStorage, StoreLogError, VoteRecord};
