//! Keeps a leader's state for the length of its term.
//!
//! A leader may lose contact with its majority and regain it in the same term. No other daemon can
//! have led in between, so the state is still valid. It must not be created anew: the counter of
//! assigned epochs has to continue.

use hollowbarrow_schema::Term;

/// State of one term, kept until a term with another number starts.
#[derive(Debug)]
pub struct TermState<T> {
    current: Option<(Term, T)>,
}

impl<T> TermState<T> {
    /// Creates an empty state, before the first term.
    pub fn new() -> Self {
        Self { current: None }
    }

    /// Returns the state of the newest term, whether or not the daemon may act as leader now.
    pub fn newest(&mut self) -> Option<&mut T> {
        self.current.as_mut().map(|(_, state)| state)
    }

    /// Returns the state of a term, which `begin` creates if the term is new.
    pub fn enter(&mut self, term: Term, begin: impl FnOnce() -> T) -> &mut T {
        let kept = self.current.take().filter(|(number, _)| *number == term);
        let (_, state) = self.current.insert(kept.unwrap_or_else(|| (term, begin())));
        state
    }
}

impl<T> Default for TermState<T> {
    fn default() -> Self {
        Self::new()
    }
}
