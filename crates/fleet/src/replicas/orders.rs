//! Orders to workers, and the latest order of each worker.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::WorkerId;
use tokio::time::Instant;

use super::names::ReplicaName;

/// Order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOrder {
    /// Become a member of a replica.
    Join {
        /// The replica.
        name: ReplicaName,
        /// All members; the first is the head.
        members: Vec<WorkerId>,
    },
    /// Accept requests, as the head.
    Open {
        /// The replica.
        name: ReplicaName,
    },
    /// Accept no new requests and complete those in flight, as the head.
    Close {
        /// The replica.
        name: ReplicaName,
    },
    /// Copy a model's weights to the worker's host, alongside any membership.
    Stage {
        /// A name that carries the model; its epoch is 0.
        name: ReplicaName,
    },
    /// Leave a replica at once.
    Leave {
        /// The replica.
        name: ReplicaName,
    },
}

impl WorkerOrder {
    /// Returns the name of the replica that the order refers to.
    pub fn name(&self) -> &ReplicaName {
        match self {
            Self::Join { name, .. }
            | Self::Open { name }
            | Self::Close { name }
            | Self::Stage { name }
            | Self::Leave { name } => name,
        }
    }

    /// Returns the name of the order in logs.
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

/// An order together with its addressee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderTicket {
    /// Worker that the order is for.
    pub worker: WorkerId,
    /// Its address.
    pub address: String,
    /// The order.
    pub order: WorkerOrder,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The worker has started to carry it out.
    Begun,
    /// It is completed, or its effect was in place already.
    Done,
    /// It does not apply in the worker's state.
    Misfit,
    /// The worker has seen a newer epoch or fence.
    Fenced,
    /// Another worker has the address, or the worker refuses the order.
    Refused,
    /// No answer was received; the order may be carried out now or later.
    Unknown,
    /// The worker was not reached and has not received the order.
    Unreached,
}

impl OrderOutcome {
    /// Returns the name of the outcome in metrics.
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

    /// Returns whether a worker that was ordered to leave is certainly not a member now.
    pub(super) fn is_settled(self) -> bool {
        matches!(self, Self::Begun | Self::Done | Self::Misfit)
    }
}

#[derive(Clone, Debug)]
struct SentOrder {
    order: WorkerOrder,
    at: Instant,
    answered: bool,
}

/// The latest order of each worker, keyed by worker name and not by instance: an order in flight
/// to a terminated instance may reach the next one.
#[derive(Clone, Debug)]
pub(super) struct OrderBook {
    retry_interval: Duration,
    sent: BTreeMap<String, SentOrder>,
}

impl OrderBook {
    pub(super) fn new(retry_interval: Duration) -> Self {
        Self { retry_interval, sent: BTreeMap::new() }
    }

    /// Returns whether an order may be sent: no order to the worker is in flight, and the same
    /// order was not sent within the retry interval.
    pub(super) fn may_send(&self, worker: &WorkerId, order: &WorkerOrder, now: Instant) -> bool {
        match self.sent.get(worker.name()) {
            None => true,
            Some(sent) if !sent.answered => false,
            Some(sent) => sent.order != *order || now >= sent.at + self.retry_interval,
        }
    }

    pub(super) fn was_sent(&self, worker: &WorkerId, order: &WorkerOrder) -> bool {
        self.sent.get(worker.name()).is_some_and(|sent| sent.order == *order)
    }

    pub(super) fn record_sent(&mut self, ticket: &OrderTicket, now: Instant) {
        let order = ticket.order.clone();
        let sent = SentOrder { order, at: now, answered: false };
        self.sent.insert(ticket.worker.name().to_owned(), sent);
    }

    pub(super) fn record_outcome(
        &mut self,
        ticket: &OrderTicket,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        if let Some(sent) = self.sent.get_mut(ticket.worker.name())
            && sent.order == ticket.order
        {
            sent.answered = true;
            if outcome != OrderOutcome::Unreached {
                sent.at = now;
            }
        }
    }

    /// Removes workers that are no longer in the table.
    pub(super) fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.sent.retain(|worker, _| known(worker));
    }
}
