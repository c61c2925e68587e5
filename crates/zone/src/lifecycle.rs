//! Lifecycle of one replica, driven by its zone's authority.
//!
//! Each state is a type of its own, so that an invalid transition does not
//! compile: only a replica that is [`Ready`] can begin to serve, and only one
//! that has drained or failed is released.

use std::marker::PhantomData;

use hollowbarrow_schema::{Allocation, Epoch};
use tokio::time::Instant;

/// A state of the lifecycle.
pub trait LifecycleState {
    /// Name of the state in logs and status.
    const NAME: &'static str;
}

macro_rules! states {
    ($($(#[$doc:meta])* $state:ident => $name:literal;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug)]
        pub struct $state;

        impl LifecycleState for $state {
            const NAME: &'static str = $name;
        }
    )+};
}

states! {
    /// Planned, but not yet stored by a majority of the zone's daemons.
    Forming => "forming";
    /// Ordered to load.
    Loading => "loading";
    /// Every member reports that it has loaded.
    Ready => "ready";
    /// Taking requests.
    Serving => "serving";
    /// Taking no new requests; those in flight complete.
    Draining => "draining";
    /// Its nodes are free.
    Released => "released";
    /// Lost a member or did not load within the time limit.
    Failed => "failed";
}

/// A replica in one state of its lifecycle.
#[derive(Clone, Debug)]
pub struct ReplicaLifecycle<S> {
    epoch: Epoch,
    entered: Instant,
    state: PhantomData<S>,
}

impl<S: LifecycleState> ReplicaLifecycle<S> {
    fn enter<N: LifecycleState>(self, now: Instant) -> ReplicaLifecycle<N> {
        ReplicaLifecycle { epoch: self.epoch, entered: now, state: PhantomData }
    }

    /// Epoch of the replica's orders.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// When the state was entered.
    pub fn entered(&self) -> Instant {
        self.entered
    }

    /// Name of the state.
    pub fn name(&self) -> &'static str {
        S::NAME
    }

    /// Records that a member was lost, or that loading took too long.
    pub fn fail(self, now: Instant) -> ReplicaLifecycle<Failed> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Forming> {
    /// Creates the lifecycle of a replica that the authority has planned.
    pub fn new(allocation: &Allocation, now: Instant) -> Self {
        Self { epoch: allocation.epoch, entered: now, state: PhantomData }
    }

    /// Records that a majority of the zone's daemons has stored the replica; its members get their
    /// orders.
    pub fn order_loading(self, now: Instant) -> ReplicaLifecycle<Loading> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Loading> {
    /// Records that every member has loaded under the replica's epoch.
    pub fn finish_loading(self, now: Instant) -> ReplicaLifecycle<Ready> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Ready> {
    /// Records that the members' heartbeats are younger than the lease.
    pub fn begin_serving(self, now: Instant) -> ReplicaLifecycle<Serving> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Serving> {
    /// Records that the replica is to give up its nodes.
    pub fn begin_draining(self, now: Instant) -> ReplicaLifecycle<Draining> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Draining> {
    /// Records that no request is in flight any more, or that the time limit has passed.
    pub fn release(self, now: Instant) -> ReplicaLifecycle<Released> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Failed> {
    /// Records that the remaining members are free.
    pub fn release(self, now: Instant) -> ReplicaLifecycle<Released> {
        self.enter(now)
    }
}
