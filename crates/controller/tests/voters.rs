//! Which voters the leader proposes.

use std::collections::BTreeSet;

use hollowbarrow_controller::voters::{VoterFacts, next_voters, voters_for};
use hollowbarrow_schema::DaemonId;
use rstest::rstest;

fn ids(names: &str) -> Vec<DaemonId> {
    names.split(',').filter(|name| !name.is_empty()).map(DaemonId::from).collect()
}

#[rstest]
#[case::all_available(1, "a,b,c", "b,c", "", None)]
#[case::spare_controller(1, "a,b,c", "b,c,d", "", None)]
#[case::more_losses_need_more_voters(2, "a,b,c", "b,c,d,e", "", Some("a,b,c,d"))]
#[case::one_more_voter(2, "a,b,c,d", "b,c,d,e", "", Some("a,b,c,d,e"))]
#[case::too_few_controllers(2, "a,b,c", "b,c", "", None)]
#[case::too_few_controllers_and_a_lost_disk(2, "a,b,c", "b,c", "c", Some("a,b"))]
#[case::lost_disk_is_removed(1, "a,b,c", "b,c", "b", Some("a,c"))]
#[case::lost_disk_is_added_again(1, "a,c", "b,c", "b", Some("a,c,b"))]
#[case::lost_disk_of_two_is_kept(1, "a,b", "b", "b", None)]
#[case::absent_is_replaced(1, "a,b,c", "b,d", "", Some("a,b"))]
#[case::absent_without_replacement(1, "a,b,c", "b", "", None)]
fn next_voters_cases(
    #[case] losses: u32,
    #[case] voters: &str,
    #[case] present: &str,
    #[case] lost: &str,
    #[case] expected: Option<&str>,
) {
    let local = DaemonId::from("a");
    let present: BTreeSet<DaemonId> = ids(present).into_iter().collect();
    let (voters, lost_disks) = (ids(voters), ids(lost));
    let candidates: Vec<DaemonId> =
        present.iter().filter(|id| !voters.contains(id)).cloned().collect();
    let facts = VoterFacts {
        desired: voters_for(losses),
        local: &local,
        voters: &voters,
        present: &present,
        lost_disks: &lost_disks,
        candidates: &candidates,
    };
    assert_eq!(next_voters(&facts), expected.map(ids));
}

/// A controller that has the log is admitted before one whose disk was just emptied, and none that is
/// away: until a new voter has the log, one disk less may be lost.
#[rstest]
#[case::caught_up_first("c,f", "b,c,d,e,f", Some("a,b,d,e,c"))]
#[case::spare_first("f,c", "b,c,d,e,f", Some("a,b,d,e,f"))]
#[case::spare_away("f,c", "b,c,d,e", Some("a,b,d,e,c"))]
#[case::disk_unknown("", "b,c,d,e,f", None)]
fn next_voters_of_candidates(
    #[case] candidates: &str,
    #[case] present: &str,
    #[case] expected: Option<&str>,
) {
    let local = DaemonId::from("a");
    let present: BTreeSet<DaemonId> = ids(present).into_iter().collect();
    let facts = VoterFacts {
        desired: 5,
        local: &local,
        voters: &ids("a,b,d,e"),
        present: &present,
        lost_disks: &[],
        candidates: &ids(candidates),
    };
    assert_eq!(next_voters(&facts), expected.map(ids));
}
