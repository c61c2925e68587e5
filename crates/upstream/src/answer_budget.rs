//! Bounds the memory of answers that are being read.
//!
//! Invariant: readers that wait for memory are not blocked by each other for good. While the budget is
//! used up, the ones that hold the most fail when they need more.

use std::sync::{Arc, Mutex, MutexGuard};

use thiserror::Error;
use tokio::sync::Notify;

/// Memory of all answers together beyond what is free.
const TOTAL_BYTES: usize = 32 << 20;
/// Memory of one answer that is not counted.
const FREE_BYTES: usize = 64 << 10;

/// An answer needs more memory than is left, and holds at least its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("it is too long beside the other answers that are being read")]
pub struct OverBudgetError;

#[derive(Debug, Default)]
struct BudgetUse {
    used: usize,
    /// Number of answers that hold any of it.
    holders: usize,
}

#[derive(Debug)]
struct SharedBudget {
    total: usize,
    state: Mutex<BudgetUse>,
    released: Notify,
}

/// Memory for the answers that a process reads at the same time.
#[derive(Clone, Debug)]
pub struct AnswerBudget(Arc<SharedBudget>);

impl Default for AnswerBudget {
    fn default() -> Self {
        Self::new(TOTAL_BYTES)
    }
}

impl AnswerBudget {
    /// Creates a budget of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self(Arc::new(SharedBudget { total, state: Mutex::default(), released: Notify::new() }))
    }

    /// Starts to count the memory of an answer.
    pub fn begin(&self) -> BudgetHold {
        BudgetHold { budget: self.clone(), held: 0 }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetUse> {
        self.0.state.lock().expect("no holder of the lock panics")
    }
}

/// Memory that one answer holds, until this is dropped.
#[derive(Debug)]
pub struct BudgetHold {
    budget: AnswerBudget,
    held: usize,
}

impl BudgetHold {
    /// Sets the memory of the answer; waits while there is not enough.
    ///
    /// # Errors
    ///
    /// Fails if there is not enough and this answer holds at least an equal share.
    pub async fn resize(&mut self, bytes: usize) -> Result<(), OverBudgetError> {
        let needed = bytes.saturating_sub(FREE_BYTES);
        let budget = self.budget.clone();
        loop {
            let released = budget.0.released.notified();
            if self.try_resize(needed)? {
                return Ok(());
            }
            released.await;
        }
    }

    /// Sets the memory beyond what is free; returns whether there was enough.
    fn try_resize(&mut self, needed: usize) -> Result<bool, OverBudgetError> {
        let mut state = self.budget.lock();
        let others = state.used - self.held;
        if needed > self.held && others + needed > self.budget.0.total {
            let share = self.budget.0.total / state.holders.max(1);
            return if self.held >= share || others == 0 {
                Err(OverBudgetError)
            } else {
                Ok(false)
            };
        }
        state.used = others + needed;
        state.holders = state.holders + usize::from(needed > 0) - usize::from(self.held > 0);
        drop(state);
        if needed < self.held {
            self.budget.0.released.notify_waiters();
        }
        self.held = needed;
        Ok(true)
    }
}

impl Drop for BudgetHold {
    fn drop(&mut self) {
        let _ = self.try_resize(0);
    }
}
