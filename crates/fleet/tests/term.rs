//! State that a leader keeps while it has no contact with its majority.

use hollowbarrow_fleet::TermState;
use hollowbarrow_schema::Term;
use rstest::rstest;

/// Counter of a leader, like that of epochs.
#[derive(Debug, Default)]
struct Counter(u64);

impl Counter {
    fn next(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }
}

/// A leader that loses contact with its majority takes no step. Its next step is in the same term,
/// or in a later one if another daemon led meanwhile.
#[rstest]
#[case::same_term(3, 3, [1, 2])]
#[case::later_term(3, 4, [1, 1])]
fn enter_keeps_term(#[case] first: u64, #[case] second: u64, #[case] given: [u64; 2]) {
    let mut terms = TermState::new();
    let before = terms.enter(Term(first), Counter::default).next();
    let after = terms.enter(Term(second), Counter::default).next();
    assert_eq!([before, after], given);
}

/// Outcomes of orders also arrive while the leader has no contact with its majority.
#[rstest]
fn newest_without_enter() {
    let mut terms: TermState<Counter> = TermState::new();
    assert!(terms.newest().is_none());
    terms.enter(Term(1), Counter::default).next();
    assert_eq!(terms.newest().map(Counter::next), Some(2));
}
