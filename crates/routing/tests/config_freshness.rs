//! Tests of when a daemon may state that a route, a key or a model does not exist.

use std::time::Duration;

use hollowbarrow_routing::ConfigFreshness;
use rstest::rstest;

/// Time for which the leader's confirmation is valid.
const VALIDITY: Duration = Duration::from_millis(1200);

/// Guards against refusing an existing route with 404 while no controller leads: gateways had
/// version 378, no leader had reported any version (`known=0 view_ms=none`), and version 380 with
/// the acknowledged route was in force.
#[rstest]
#[case::no_confirmation(378, 0, None, false)]
#[case::confirmed_newer(378, 380, Some(90), false)]
#[case::confirmed_same(380, 380, Some(90), true)]
#[case::newer_than_confirmed(381, 380, Some(90), true)]
#[case::confirmation_expired(380, 380, Some(1_600), false)]
#[case::nothing_in_force(0, 0, Some(90), true)]
fn is_current(
    #[case] version: u64,
    #[case] known: u64,
    #[case] confirmation_ms: Option<u64>,
    #[case] current: bool,
) {
    let facts = ConfigFreshness {
        version,
        known,
        confirmation_age: confirmation_ms.map(Duration::from_millis),
    };
    assert_eq!(facts.is_current(VALIDITY), current);
}
