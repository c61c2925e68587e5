//! Which controller a gateway hears through.

use std::time::Duration;

use hollowbarrow_gateway::home::HomeChoice;
use hollowbarrow_schema::{ControllerPlace, DaemonId, ZoneId};
use rstest::rstest;
use tokio::time::Instant;

fn place(id: &str) -> ControllerPlace {
    let zone = id.split('-').next().unwrap_or_default();
    ControllerPlace { id: DaemonId::from(id), zone: ZoneId::from(zone) }
}

/// Views that come at given times, in milliseconds, and the home at the end.
#[rstest]
#[case::nobody(&[], 0, None)]
#[case::near_one(&[(0, "b-1"), (0, "a-1")], 0, Some("a-1"))]
#[case::far_one_alone(&[(0, "b-1")], 0, Some("b-1"))]
#[case::near_one_comes_back(&[(0, "b-1"), (300, "b-1"), (310, "a-1")], 320, Some("a-1"))]
#[case::silent(&[(0, "a-1"), (500, "b-1")], 800, Some("b-1"))]
#[case::all_silent(&[(0, "a-1"), (0, "b-1")], 800, None)]
fn choose_home(#[case] views: &[(u64, &str)], #[case] at: u64, #[case] expected: Option<&str>) {
    let start = Instant::now();
    let mut homes = HomeChoice::new(&DaemonId::from("g"), &ZoneId::from("a"));
    let places = ["a-1", "a-2", "b-1"].map(place);
    for (at, from) in views {
        let now = start + Duration::from_millis(*at);
        homes.note_view(&DaemonId::from(*from), &places, now);
        homes.choose(now);
    }
    let home = homes.choose(start + Duration::from_millis(at));
    assert_eq!(home, expected.map(DaemonId::from));
}

/// A home stays although another one of its zone would have been preferred.
#[rstest]
fn choose_keeps_home() {
    let now = Instant::now();
    let places = ["a-1", "a-2"].map(place);
    for first in ["a-1", "a-2"] {
        let mut homes = HomeChoice::new(&DaemonId::from("g"), &ZoneId::from("a"));
        homes.note_view(&DaemonId::from(first), &places, now);
        assert_eq!(homes.choose(now), Some(DaemonId::from(first)));
        for other in ["a-1", "a-2"] {
            homes.note_view(&DaemonId::from(other), &places, now);
        }
        assert_eq!(homes.choose(now), Some(DaemonId::from(first)));
    }
}

/// Both controllers of a zone are homes of many of its gateways.
#[rstest]
fn choose_spreads_gateways() {
    let now = Instant::now();
    let places = ["a-1", "a-2"].map(place);
    let homes = (0..100).map(|number| {
        let own = DaemonId::from(format!("10.0.0.{number}:7340").as_str());
        let mut homes = HomeChoice::new(&own, &ZoneId::from("a"));
        for place in &places {
            homes.note_view(&place.id, &places, now);
        }
        homes.choose(now)
    });
    let first = homes.filter(|home| *home == Some(DaemonId::from("a-1"))).count();
    assert!((25..=75).contains(&first), "{first} of 100");
}
