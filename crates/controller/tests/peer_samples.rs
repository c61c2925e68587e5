//! Samples of gateways as peers: who is in them, and when they are sent.

use std::time::Duration;

use hollowbarrow_controller::peer_samples::{PeerCandidate, SampleSchedule, draw_sample};
use hollowbarrow_schema::{DaemonId, ZoneId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

/// Gateways with the services that they do not reach.
type Gateways = Vec<(DaemonId, ZoneId, Vec<String>)>;

fn gateways(named: &[(&str, &str, &[&str])]) -> Gateways {
    let gateway = |(id, zone, unreached): &(&str, &str, &[&str])| {
        let unreached = unreached.iter().map(ToString::to_string).collect();
        (DaemonId::from(*id), ZoneId::from(*zone), unreached)
    };
    named.iter().map(gateway).collect()
}

/// Draws a sample for a gateway in zone `a`, and returns the names in it.
fn draw(gateways: &Gateways, needed: &[&str], seed: u64) -> Vec<String> {
    let needed: Vec<String> = needed.iter().map(ToString::to_string).collect();
    let candidates =
        gateways.iter().map(|(id, zone, unreached)| PeerCandidate { id, zone, unreached });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sample = draw_sample(&ZoneId::from("a"), &needed, candidates.collect(), &mut rng);
    let mut names: Vec<String> = sample.iter().map(|place| place.id.as_str().to_owned()).collect();
    names.sort();
    names
}

/// Guards against callers of an isolated gateway who wait for the next sample although another
/// gateway reaches the workers: that one was left out because it lacked another service.
#[rstest]
fn sample_has_only_gateway_that_reaches_service() {
    let others = gateways(&[
        ("a1", "a", &["chat"]),
        ("b1", "b", &["chat"]),
        ("b2", "b", &["chat", "hold"]),
        ("c1", "c", &["hold"]),
    ]);
    for seed in 0..20 {
        assert_eq!(draw(&others, &["chat"], seed), ["c1"]);
        assert_eq!(draw(&others, &["hold"], seed), ["a1", "b1"]);
        assert_eq!(draw(&others, &["chat", "hold"], seed), ["a1", "b1", "c1"]);
    }
}

/// Peers that reach everything come first for a gateway that needs none yet; the others fill up.
#[rstest]
fn sample_in_advance() {
    let lacking: &[&str] = &["chat"];
    let mut named = vec![("a1", "a", lacking), ("a2", "a", &[])];
    named.extend(["b1", "b2", "b3", "b4", "b5"].map(|id| (id, "b", lacking)));
    named.extend(["c1", "c2", "c3"].map(|id| (id, "c", &[] as &[&str])));
    let others = gateways(&named);
    for seed in 0..20 {
        let sample = draw(&others, &[], seed);
        assert_eq!(sample.len(), 6, "{sample:?}");
        for id in ["a1", "a2", "c1", "c2", "c3"] {
            assert!(sample.iter().any(|drawn| drawn == id), "{id} is not in {sample:?}");
        }
    }
}

/// Guards against a gateway that is isolated soon after its start, or after that of its controller,
/// and waits for its next sample: the first one was drawn while few gateways were known.
#[rstest]
fn sample_due_once_larger() {
    let start = Instant::now();
    let mut schedule = SampleSchedule::default();
    assert!(schedule.is_due(false, start));
    assert!(!schedule.record(false, 0, start), "an empty sample is not sent");
    assert!(schedule.is_due(false, start));
    assert!(schedule.record(false, 1, start));
    let soon = start + Duration::from_millis(300);
    assert!(schedule.is_due(false, soon));
    assert!(!schedule.record(false, 1, soon), "the same sample is not sent again");
    assert!(schedule.record(false, 4, soon));
    let later = soon + Duration::from_millis(4900);
    assert!(!schedule.is_due(false, later));
    assert!(schedule.is_due(false, soon + Duration::from_secs(5)));
}

#[rstest]
fn sample_due_while_needed() {
    let start = Instant::now();
    let mut schedule = SampleSchedule::default();
    assert!(schedule.record(true, 8, start));
    assert!(!schedule.is_due(true, start + Duration::from_millis(200)));
    let soon = start + Duration::from_millis(300);
    assert!(schedule.is_due(true, soon));
    assert!(schedule.record(true, 8, soon));
}
