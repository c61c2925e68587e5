//! Checks that several callers share.
//!
//! Invariants: a caller shares only a check that begins after it has asked, because the outcome of an
//! earlier one may be older than what the caller has observed. An outcome that cannot change holds for
//! all that have asked before it was known. Of each name at most one check runs and one waits.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use futures_util::FutureExt;
use futures_util::future::{BoxFuture, Shared};

/// The outcome of a check; `None` if the check has panicked.
type CheckOutcome<T> = Shared<BoxFuture<'static, Option<T>>>;

/// The outcome of a check.
pub(crate) trait CheckResult: Clone + Send + Sync + 'static {
    /// Returns whether no later check of the same name can have another outcome.
    fn is_final(&self) -> bool;
}

/// The checks of one name.
struct CheckSlots<T> {
    running: CheckOutcome<T>,
    /// Begins when the running one has ended.
    waiting: Option<CheckOutcome<T>>,
}

/// Checks in progress, by name.
pub(crate) struct SharedChecks<T>(Mutex<HashMap<String, CheckSlots<T>>>);

impl<T> Default for SharedChecks<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T: CheckResult> SharedChecks<T> {
    /// Returns the outcome of a check that begins from now on: of the one that waits, if there is one,
    /// or else of this one. If the one that runs has a final outcome, that is returned instead. Returns
    /// `None` if the check has panicked.
    pub(crate) async fn share(
        self: &Arc<Self>,
        name: String,
        check: impl Future<Output = T> + Send + 'static,
    ) -> Option<T> {
        let outcome = {
            let mut checks = self.lock();
            match checks.get_mut(&name) {
                Some(CheckSlots { waiting: Some(waiting), .. }) => waiting.clone(),
                Some(slots) => {
                    let running = slots.running.clone();
                    let waiting = self.start(name, Some(running), check);
                    slots.waiting.insert(waiting).clone()
                }
                None => {
                    let running = self.start(name.clone(), None, check);
                    let slots = CheckSlots { running: running.clone(), waiting: None };
                    checks.insert(name, slots);
                    running
                }
            }
        };
        outcome.await
    }

    /// Starts a check that begins when the previous one has ended, unless that has a final outcome.
    fn start(
        self: &Arc<Self>,
        name: String,
        previous: Option<CheckOutcome<T>>,
        check: impl Future<Output = T> + Send + 'static,
    ) -> CheckOutcome<T> {
        let checks = Arc::clone(self);
        let task = tokio::spawn(async move {
            let mut known = None;
            if let Some(previous) = previous {
                known = previous.await.filter(T::is_final);
                checks.begin_waiting(&name);
            }
            let outcome = match known {
                Some(outcome) => outcome,
                None => check.await,
            };
            checks.end_running(&name);
            outcome
        });
        task.map(Result::ok).boxed().shared()
    }

    /// Records that the check that waits begins.
    fn begin_waiting(&self, name: &str) {
        if let Some(slots) = self.lock().get_mut(name)
            && let Some(waiting) = slots.waiting.take()
        {
            slots.running = waiting;
        }
    }

    /// Records that the running check has ended.
    fn end_running(&self, name: &str) {
        let mut checks = self.lock();
        if checks.get(name).is_some_and(|slots| slots.waiting.is_none()) {
            checks.remove(name);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, CheckSlots<T>>> {
        self.0.lock().expect("no holder of the lock panics")
    }
}
