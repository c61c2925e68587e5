//! The replicated durable log: elections, quorum commit, snapshots and storage.
//!
//! This crate is the one place where daemons come to agree. The accepted
//! configuration and the claims of not repeatable requests are two logs of it.
//! [`LogReplica`] decides and does no input or output but through its
//! [`LogStorage`]; [`LogDriver`] runs it on a thread of its own.
//!
//! Invariants:
//!
//! - An entry is acknowledged only after the storage has synced it.
//! - An entry that a majority of voters has synced in the leader's own term is
//!   committed and never lost while a majority of disks survives.
//! - A voter whose storage failed, or whose disk came back empty, neither
//!   votes nor acknowledges.

mod driver;
mod file;
mod leader;
mod replica;
mod storage;

pub use driver::{
    AppliedCallback, AppliedChange, DriverConfig, DriverInput, LogDriver, LogView, StateMachine,
};
pub use file::FileStorage;
pub use replica::{LogReplica, ReplicaConfig, ReplicaFault};
pub use storage::{EntryWindow, LogStorage, MemoryStorage, StoreLogError, VoteRecord};
