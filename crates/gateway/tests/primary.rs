//! The choice of a gateway's primary controller.

use std::time::Duration;

use hollowbarrow_gateway::primary::PrimarySelector;
use hollowbarrow_schema::{ControllerPlace, DaemonId, ZoneId};
use rstest::rstest;
use tokio::time::Instant;

fn place(id: &str) -> ControllerPlace {
    let zone = id.split('-').next().unwrap_or_default();
    ControllerPlace { id: DaemonId::from(id), zone: ZoneId::from(zone) }
}

/// Each case lists views with their time in milliseconds, and the expected primary controller.
#[rstest]
#[case::nobody(&[], 0, None)]
#[case::near_one(&[(0, "b-1"), (0, "a-1")], 0, Some("a-1"))]
#[case::far_one_alone(&[(0, "b-1")], 0, Some("b-1"))]
#[case::near_one_returns(&[(0, "b-1"), (300, "b-1"), (310, "a-1")], 320, Some("a-1"))]
#[case::silent(&[(0, "a-1"), (500, "b-1")], 800, Some("b-1"))]
#[case::all_silent(&[(0, "a-1"), (0, "b-1")], 800, None)]
fn choose_primary(#[case] views: &[(u64, &str)], #[case] at: u64, #[case] expected: Option<&str>) {
    let start = Instant::now();
    let mut selector = PrimarySelector::new(&DaemonId::from("g"), &ZoneId::from("a"));
    let places = ["a-1", "a-2", "b-1"].map(place);
    for (at, from) in views {
        let now = start + Duration::from_millis(*at);
        selector.record_view(&DaemonId::from(*from), &places, now);
        selector.choose(now);
    }
    let primary = selector.choose(start + Duration::from_millis(at));
    assert_eq!(primary, expected.map(DaemonId::from));
}

/// The primary controller is kept although another one of its zone has a higher preference.
#[rstest]
fn choose_keeps_primary() {
    let now = Instant::now();
    let places = ["a-1", "a-2"].map(place);
    for first in ["a-1", "a-2"] {
        let mut selector = PrimarySelector::new(&DaemonId::from("g"), &ZoneId::from("a"));
        selector.record_view(&DaemonId::from(first), &places, now);
        assert_eq!(selector.choose(now), Some(DaemonId::from(first)));
        for other in ["a-1", "a-2"] {
            selector.record_view(&DaemonId::from(other), &places, now);
        }
        assert_eq!(selector.choose(now), Some(DaemonId::from(first)));
    }
}

/// Each of the two controllers of a zone is the primary controller of many of its gateways.
#[rstest]
fn choose_spreads_gateways() {
    let now = Instant::now();
    let places = ["a-1", "a-2"].map(place);
    let selector = (0..100).map(|number| {
        let local = DaemonId::from(format!("10.0.0.{number}:7340").as_str());
        let mut selector = PrimarySelector::new(&local, &ZoneId::from("a"));
        for place in &places {
            selector.record_view(&place.id, &places, now);
        }
        selector.choose(now)
    });
    let first = selector.filter(|primary| *primary == Some(DaemonId::from("a-1"))).count();
    assert!((25..=75).contains(&first), "{first} of 100");
}
