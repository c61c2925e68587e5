//! Keeps what a leader knows for the length of its term.
//!
//! A leader may lose sight of its majority for a moment and find it again in the same term. No
//! other daemon can have led in between, so what it kept still holds, and it must not begin the
//! term anew: the epochs that it gave out before count on.

use hollowbarrow_schema::Term;

/// State of one term, kept until a term with another number begins.
#[derive(Debug)]
pub struct TermState<T> {
    held: Option<(Term, T)>,
}

impl<T> TermState<T> {
    /// Creates an empty state: no term has begun yet.
    pub fn new() -> Self {
        Self { held: None }
    }

    /// The state of the newest term that has begun, whether it may be acted on now or not.
    pub fn newest(&mut self) -> Option<&mut T> {
        self.held.as_mut().map(|(_, state)| state)
    }

    /// The state of this term; `begin` makes it where the term is new.
    pub fn enter(&mut self, term: Term, begin: impl FnOnce() -> T) -> &mut T {
        let held = self.held.take().filter(|(current, _)| *current == term);
        let (_, state) = self.held.insert(held.unwrap_or_else(|| (term, begin())));
        state
    }
}

impl<T> Default for TermState<T> {
    fn default() -> Self {
        Self::new()
    }
}
