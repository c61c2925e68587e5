//! Orders to workers, and which of them are under way.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::WorkerId;
use tokio::time::Instant;

use super::names::ReplicaName;

/// What a worker is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOrder {
    /// Become a member of a replica.
    Join {
        /// The replica.
        name: ReplicaName,
        /// All members; the first is the head.
        members: Vec<WorkerId>,
    },
    /// Take requests, as the head.
    Open {
        /// The replica.
        name: ReplicaName,
    },
    /// Take no new requests and end those under way, as the head.
    Close {
        /// The replica.
        name: ReplicaName,
    },
    /// Copy a model's weights to the worker's host, beside all else.
    Stage {
        /// A name of the model without an epoch.
        name: ReplicaName,
    },
    /// Leave a replica at once.
    Leave {
        /// The replica.
        name: ReplicaName,
    },
}

impl WorkerOrder {
    /// The replica that the order is about.
    pub fn name(&self) -> &ReplicaName {
        match self {
            Self::Join { name, .. }
            | Self::Open { name }
            | Self::Close { name }
            | Self::Stage { name }
            | Self::Leave { name } => name,
        }
    }

    /// Name of the order in logs.
    pub fn verb(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Stage { .. } => "stage",
            Self::Leave { .. } => "leave",
        }
    }
}

/// An order to one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderTicket {
    /// Who is ordered.
    pub worker: WorkerId,
    /// Where it is reached.
    pub address: String,
    /// What it is told.
    pub order: WorkerOrder,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The worker began it.
    Begun,
    /// It holds already, or is done.
    Done,
    /// It does not fit the worker's state.
    Misfit,
    /// The worker has seen a newer epoch or fence.
    Fenced,
    /// Another worker has the address, or the worker refuses the order.
    Refused,
    /// No answer came; the order may be carried out now or later.
    Unknown,
    /// The worker was not reached; the order was not taken.
    Unreached,
}

impl OrderOutcome {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::Done => "done",
            Self::Misfit => "misfit",
            Self::Fenced => "fenced",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Unreached => "unreached",
        }
    }

    /// Whether a worker that was told to leave is certainly not a member now.
    pub(super) fn is_settled(self) -> bool {
        matches!(self, Self::Begun | Self::Done | Self::Misfit)
    }
}

#[derive(Clone, Debug)]
struct PlacedOrder {
    order: WorkerOrder,
    at: Instant,
    answered: bool,
}

/// The latest order of each worker, by its name: one that is on its way to a life that has ended
/// may reach the next one.
#[derive(Clone, Debug)]
pub(super) struct OrderBook {
    repeat: Duration,
    placed: BTreeMap<String, PlacedOrder>,
}

impl OrderBook {
    pub(super) fn new(repeat: Duration) -> Self {
        Self { repeat, placed: BTreeMap::new() }
    }

    /// Whether an order may go out: none is under way, and the same one was not just given.
    pub(super) fn may_give(&self, worker: &WorkerId, order: &WorkerOrder, now: Instant) -> bool {
        match self.placed.get(worker.name()) {
            None => true,
            Some(placed) if !placed.answered => false,
            Some(placed) => placed.order != *order || now >= placed.at + self.repeat,
        }
    }

    pub(super) fn was_given(&self, worker: &WorkerId, order: &WorkerOrder) -> bool {
        self.placed.get(worker.name()).is_some_and(|placed| placed.order == *order)
    }

    pub(super) fn give(&mut self, ticket: &OrderTicket, now: Instant) {
        let order = ticket.order.clone();
        let placed = PlacedOrder { order, at: now, answered: false };
        self.placed.insert(ticket.worker.name().to_owned(), placed);
    }

    pub(super) fn record_outcome(
        &mut self,
        ticket: &OrderTicket,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        if let Some(placed) = self.placed.get_mut(ticket.worker.name())
            && placed.order == ticket.order
        {
            placed.answered = true;
            if outcome != OrderOutcome::Unreached {
                placed.at = now;
            }
        }
    }

    /// Forgets workers that are not in the table any more.
    pub(super) fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.placed.retain(|worker, _| known(worker));
    }
}
