//! The life cycle of one replica, as its zone's authority walks it.
//!
//! Each state is a type of its own, so that a step which the life cycle does
//! not have cannot be written down: only a replica that is [`Ready`] can begin
//! to serve, and only one that has drained or failed is released.

use std::marker::PhantomData;

use hollowbarrow_schema::{Allocation, Epoch};
use tokio::time::Instant;

/// A state of the life cycle.
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
    /// Chosen, but not yet known to a majority of the zone's daemons.
    Forming => "forming";
    /// Ordered to load.
    Loading => "loading";
    /// Every member says that it has loaded.
    Ready => "ready";
    /// Taking requests.
    Serving => "serving";
    /// Taking no new requests; those in flight end.
    Draining => "draining";
    /// Its nodes are free.
    Released => "released";
    /// Lost a member or did not load in time.
    Failed => "failed";
}

/// A replica in one state of its life.
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

    /// A member was lost, or loading took too long.
    pub fn fail(self, now: Instant) -> ReplicaLifecycle<Failed> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Forming> {
    /// Starts the life of a replica that the authority has chosen.
    pub fn new(allocation: &Allocation, now: Instant) -> Self {
        Self { epoch: allocation.epoch, entered: now, state: PhantomData }
    }

    /// A majority of the zone's daemons knows the replica; its members get their orders.
    pub fn order_loading(self, now: Instant) -> ReplicaLifecycle<Loading> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Loading> {
    /// Every member has loaded under the replica's epoch.
    pub fn finish_loading(self, now: Instant) -> ReplicaLifecycle<Ready> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Ready> {
    /// The members' heartbeats are fresh.
    pub fn begin_serving(self, now: Instant) -> ReplicaLifecycle<Serving> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Serving> {
    /// The replica is to give up its nodes.
    pub fn begin_draining(self, now: Instant) -> ReplicaLifecycle<Draining> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Draining> {
    /// Nothing is in flight any more, or the limit has passed.
    pub fn release(self, now: Instant) -> ReplicaLifecycle<Released> {
        self.enter(now)
    }
}

impl ReplicaLifecycle<Failed> {
    /// The members that are left are free.
    pub fn release(self, now: Instant) -> ReplicaLifecycle<Released> {
        self.enter(now)
    }
}
