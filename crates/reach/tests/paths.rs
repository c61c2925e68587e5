//! Which upstreams count as reached by the process itself.

use std::net::SocketAddr;

use hollowbarrow_reach::{PathChange, PathTable, UpstreamPath};
use rstest::rstest;

const MODELS: &str = "models";
const BOOKINGS: &str = "bookings";

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

fn bypass(paths: &mut PathTable, service: &str, upstream: &str) -> PathChange {
    paths.record_bypassed(service, upstream, address())
}

#[rstest]
fn path_of_one_bypassed_upstream() {
    let mut paths = PathTable::new();
    assert_eq!(bypass(&mut paths, MODELS, "1"), PathChange::None);
    assert_eq!(paths.path(MODELS, "1"), UpstreamPath::Peer);
    assert_eq!(paths.path(MODELS, "2"), UpstreamPath::Direct);
    assert_eq!(paths.path(BOOKINGS, "1"), UpstreamPath::Direct);
    assert_eq!(paths.record_connected(MODELS, "1"), PathChange::None);
    assert!(paths.is_clear());
}

/// Upstreams that were never tried would each cost a request a timeout.
#[rstest]
fn path_of_all_upstreams_after_two_bypassed() {
    let mut paths = PathTable::new();
    bypass(&mut paths, MODELS, "1");
    assert_eq!(bypass(&mut paths, MODELS, "1"), PathChange::None, "the same upstream is one loss");
    assert_eq!(bypass(&mut paths, MODELS, "2"), PathChange::Isolated);
    assert_eq!(bypass(&mut paths, MODELS, "3"), PathChange::None, "it is isolated already");
    assert_eq!(paths.path(MODELS, "9"), UpstreamPath::Peer);
    assert_eq!(paths.path(BOOKINGS, "1"), UpstreamPath::Peer, "no connection proves this service");
}

/// Where only one service is out of reach, the other one needs no peer.
#[rstest]
fn path_of_service_that_is_connected() {
    let mut paths = PathTable::new();
    paths.record_connected(BOOKINGS, "1");
    bypass(&mut paths, MODELS, "1");
    bypass(&mut paths, MODELS, "2");
    assert_eq!(paths.path(BOOKINGS, "1"), UpstreamPath::Peer, "that connection is older");
    assert_eq!(paths.record_connected(BOOKINGS, "1"), PathChange::None);
    assert_eq!(paths.path(BOOKINGS, "1"), UpstreamPath::Direct);
    assert_eq!(paths.path(MODELS, "1"), UpstreamPath::Peer);
    assert!(paths.is_isolated());
}

/// Single upstreams that are out of reach, at different times, are no isolation.
#[rstest]
fn isolated_only_without_connection_between() {
    let mut paths = PathTable::new();
    bypass(&mut paths, MODELS, "1");
    paths.record_connected(MODELS, "5");
    assert_eq!(bypass(&mut paths, MODELS, "2"), PathChange::None);
    assert!(!paths.is_isolated());
    assert_eq!(bypass(&mut paths, MODELS, "3"), PathChange::Isolated);
}

#[rstest]
fn reconnected_keeps_bypassed_upstreams() {
    let mut paths = PathTable::new();
    for upstream in ["1", "2", "3"] {
        bypass(&mut paths, MODELS, upstream);
    }
    assert_eq!(paths.record_connected(MODELS, "1"), PathChange::Reconnected);
    assert_eq!(paths.path(MODELS, "1"), UpstreamPath::Direct);
    assert_eq!(paths.path(MODELS, "9"), UpstreamPath::Direct);
    assert_eq!(paths.path(MODELS, "2"), UpstreamPath::Peer, "no connection proves this one");
    let bypassed: Vec<&str> = paths.bypassed().map(|(_, upstream, _)| upstream).collect();
    assert_eq!(bypassed, ["2", "3"]);
}

#[rstest]
fn reconnected_once_all_services_are() {
    let mut paths = PathTable::new();
    for service in [MODELS, BOOKINGS] {
        bypass(&mut paths, service, "1");
        bypass(&mut paths, service, "2");
    }
    assert_eq!(paths.record_connected(MODELS, "1"), PathChange::None);
    assert_eq!(paths.path(BOOKINGS, "3"), UpstreamPath::Peer);
    assert_eq!(paths.record_connected(BOOKINGS, "1"), PathChange::Reconnected);
}

/// Upstreams that have ended must not keep the process isolated.
#[rstest]
fn reconnected_without_bypassed_upstreams() {
    let mut paths = PathTable::new();
    bypass(&mut paths, MODELS, "1");
    bypass(&mut paths, MODELS, "2");
    assert_eq!(paths.retain(|_, upstream| upstream != "1"), PathChange::None);
    assert_eq!(paths.retain(|_, _| false), PathChange::Reconnected);
    assert!(paths.is_clear());
}

/// Other upstreams of a service are checked only while it is not known whether it is reached.
#[rstest]
fn doubtful_until_known() {
    let mut paths = PathTable::new();
    assert!(!paths.is_doubtful(MODELS));
    bypass(&mut paths, MODELS, "1");
    assert!(paths.is_doubtful(MODELS));
    assert!(!paths.is_doubtful(BOOKINGS));
    paths.record_connected(MODELS, "2");
    assert!(!paths.is_doubtful(MODELS), "another upstream is reached");
    bypass(&mut paths, MODELS, "3");
    bypass(&mut paths, MODELS, "4");
    assert!(!paths.is_doubtful(MODELS), "the process is isolated");
}
