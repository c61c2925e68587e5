//! How long requests wait for their claims.

use std::time::Duration;

use hollowbarrow_routing::{ClaimWaitFacts, VoterContact, claim_wait};
use rstest::rstest;

/// Guards against refusing a request after 2 s during an election, at a daemon that hears from the
/// voters' zones.
#[rstest]
#[case::leader(true, 0, 3, 4_000)]
#[case::election(false, 3, 3, 4_000)]
#[case::election_of_majority(false, 2, 3, 4_000)]
#[case::cut_off(false, 1, 3, 2_000)]
#[case::half_of_voters(false, 2, 4, 2_000)]
#[case::just_started(false, 0, 0, 2_000)]
fn wait_by_contact(
    #[case] is_leader_confirmed: bool,
    #[case] reachable: usize,
    #[case] voters: usize,
    #[case] expected_ms: u64,
) {
    let voters = VoterContact { voters, reachable };
    let remaining = Duration::from_secs(8);
    let facts = ClaimWaitFacts { remaining, is_leader_confirmed, voters };
    assert_eq!(claim_wait(&facts), Duration::from_millis(expected_ms));
}

/// A request with little time leaves half of it for its run.
#[rstest]
fn wait_of_short_request() {
    let voters = VoterContact { voters: 3, reachable: 0 };
    let remaining = Duration::from_millis(600);
    let facts = ClaimWaitFacts { remaining, is_leader_confirmed: false, voters };
    assert_eq!(claim_wait(&facts), Duration::from_millis(300));
}
