//! Settings: the examples are valid, and each kind of fault is reported with its field and line.

use hollowbarrow_schema::keys::{hash_key, is_known_key};
use hollowbarrow_schema::settings::{parse_condition, read_document, read_settings};
use hollowbarrow_schema::{ApplyDocument, KeySettings, Labels, Selector};
use proptest::prelude::*;
use rstest::rstest;

const GOOD: &str = r#"{
  // A daemon that is fine.
  "id": "e1", "zone": "a",
  "listen": "127.0.0.1:8080", "operator_listen": "127.0.0.1:8081", "peer_listen": "127.0.0.1:8082",
  "data": "data",
  "peers": [
    {"id": "e1", "zone": "a", "address": "127.0.0.1:8082", "voter": true}
  ],
  "cluster_keys": ["a-key-of-enough-length"],
  "platform": "http://127.0.0.1:9000/nodes",
  "organisations": [
    {"id": "campers", "keys": [{"sha256": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"}]}
  ],
  "operators": [],
  "routes": [{"path": "/holds", "service": "booking", "not_repeatable": true}],
  "timing": {"lease_ms": 2000, "probe_ms": 500}
}"#;

#[rstest]
fn read_good_settings() {
    let settings = read_settings("good", GOOD).expect("the settings are valid");
    assert_eq!(settings.limits.streams, 512, "defaults are filled in");
    assert_eq!(settings.timing.digest_ms, 500);
    assert!(
        !settings.managed.matches(&Labels(Default::default())),
        "no node is managed by default"
    );
}

#[rstest]
#[case::unknown_field(r#""zone": "a","#, r#""zone": "a", "colour": 1,"#, "colour", 3)]
#[case::wrong_type(r#""lease_ms": 2000"#, r#""lease_ms": "2000""#, "timing.lease_ms", 16)]
#[case::missing_field(r#""platform": "http://127.0.0.1:9000/nodes","#, "", "platform", 1)]
#[case::bad_address(r#""listen": "127.0.0.1:8080""#, r#""listen": "here:80""#, "listen", 4)]
#[case::too_large(r#""probe_ms": 500"#, r#""probe_ms": 1"#, "timing.probe_ms", 16)]
#[case::short_lease(r#""lease_ms": 2000"#, r#""lease_ms": 600"#, "timing.lease_ms", 16)]
#[case::bad_hash("9f86d081884c7d65", "xyz", "organisations[0].keys[0].sha256", 12)]
#[case::short_key("a-key-of-enough-length", "short", "cluster_keys[0]", 9)]
#[case::other_id(r#""id": "e1", "zone": "a","#, r#""id": "e9", "zone": "a","#, "id", 3)]
#[case::other_zone(r#""zone": "a","#, r#""zone": "b","#, "zone", 3)]
#[case::no_voter(r#""voter": true"#, r#""voter": false"#, "peers", 6)]
#[case::no_data(r#""data": "data","#, "", "data", 1)]
#[case::bad_route(r#""path": "/holds""#, r#""path": "/v1/holds""#, "routes[0].path", 15)]
#[case::bad_hedge(
    r#""not_repeatable": true"#,
    r#""not_repeatable": true, "hedge_ms": 5"#,
    "routes[0].hedge_ms",
    15
)]
#[case::bad_choice(
    r#""service": "booking""#,
    r#""service": "booking", "urgency": "now""#,
    "routes[0].urgency",
    15
)]
#[case::twice(r#""zone": "a","#, r#""zone": "a", "zone": "a","#, "zone", 3)]
#[case::bad_syntax(r#""operators": [],"#, r#""operators": [,"#, "(syntax)", 14)]
fn read_bad_settings(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] field: &str,
    #[case] line: u32,
) {
    let text = GOOD.replacen(good, bad, 1);
    assert_ne!(text, GOOD);
    let error = read_settings("bad", &text).expect_err("the settings have a fault");
    let fault = error.faults.iter().find(|fault| fault.field == field);
    let fault = fault.unwrap_or_else(|| panic!("no fault of {field}: {:?}", error.faults));
    assert_eq!(fault.line, Some(line), "{fault}");
    assert!(!fault.found.is_empty() && !fault.allowed.is_empty());
}

#[rstest]
fn read_all_faults_at_once() {
    let text = GOOD
        .replace("\"zone\": \"a\",", "\"zone\": \"a\", \"colour\": 1,")
        .replace("\"lease_ms\": 2000", "\"lease_ms\": true")
        .replace("\"operators\": [],", "");
    let error = read_settings("bad", &text).expect_err("the settings have faults");
    assert!(error.faults.len() >= 3, "{:?}", error.faults);
}

#[rstest]
fn read_examples() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut checked = 0;
    for user in ["taborttuz", "settlement-desk"] {
        for file in std::fs::read_dir(root.join(user)).expect("the folder of examples is readable")
        {
            let path = file.expect("readable").path();
            let text = std::fs::read_to_string(&path).expect("readable");
            let name = path.display().to_string();
            if name.ends_with("groups.jsonc") {
                let document: ApplyDocument =
                    read_document(&name, &text, "ApplyDocument").expect("the groups are valid");
                assert!(!document.groups.is_empty());
            } else {
                let settings = read_settings(&name, &text).expect("the settings are valid");
                assert_eq!(settings.organisations.len(), 10);
                assert!((8..=9).contains(&settings.peers.len()));
            }
            checked += 1;
        }
    }
    assert!(checked >= 19, "only {checked} examples were checked");
}

#[rstest]
#[case("tier in (fast, slow)", "tier=fast", true)]
#[case("tier notin (fast)", "tier=fast", false)]
#[case("tier", "tier=x", true)]
#[case("!tier", "tier=x", false)]
#[case("tier=fast", "tier=slow", false)]
fn match_condition(#[case] condition: &str, #[case] label: &str, #[case] matches: bool) {
    let expression = parse_condition(condition).expect("the condition is valid");
    let selector = Selector { expressions: vec![expression], ..Selector::default() };
    let (key, value) = label.split_once('=').expect("a label");
    let labels = Labels([(key.to_owned(), value.to_owned())].into_iter().collect());
    assert_eq!(selector.matches(&labels), matches);
}

#[rstest]
fn know_key() {
    let known = vec![KeySettings { sha256: hash_key("secret") }];
    assert!(is_known_key("secret", &known));
    assert!(!is_known_key("Secret", &known));
    assert!(!is_known_key("", &known));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any text, reading returns settings or at least one fault and does not panic.
    #[test]
    fn fuzz_read_settings(cut in 0usize..1200, insert in "[\\[\\]{},:\"a-z0-9 /*\\\\-]{0,12}") {
        let mut text = GOOD.to_owned();
        let position = (0..=cut.min(text.len())).rev().find(|p| text.is_char_boundary(*p));
        text.insert_str(position.unwrap_or(0), &insert);
        if let Err(error) = read_settings("fuzzed", &text) {
            prop_assert!(!error.faults.is_empty());
            let lines = text.lines().count() as u32 + 1;
            prop_assert!(error.faults.iter().all(|f| f.line.is_none_or(|l| l <= lines)));
        }
    }
}
