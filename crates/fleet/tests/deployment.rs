//! Checks of complete configurations, and route lookups against a reference implementation.

use std::time::Duration;

use hollowbarrow_fleet::{
    CallerLimits, Deployment, DeploymentFault, Organisation, Repeatability, Route, RouteTable,
    Service,
};
use hollowbarrow_schema::{OrganisationId, ServiceName};
use proptest::prelude::*;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Repeatability::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        gap_objective: None,
        priority: 1,
        split: vec![(ServiceName("chat".to_owned()), 1)],
        max_attempts: 1,
        public: false,
    }
}

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    Organisation { name: OrganisationId(name.to_owned()), keys, priority: None }
}

fn deployment(routes: Vec<Route>) -> Deployment {
    let name = ServiceName("chat".to_owned());
    let service = Service { name, health_path: "/".to_owned(), max_connections: 10, engine: None };
    Deployment {
        version: 1,
        routes,
        services: vec![service],
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        organisations: Some(vec![organisation("family", &["k1", "k2"])]),
    }
}

#[rstest]
fn check_valid_configuration() {
    assert_eq!(deployment(vec![route("r", "h", "/a/")]).check(), Vec::new());
}

#[rstest]
#[case::unknown_service(|d: &mut Deployment| d.routes[0].split[0].0 = ServiceName("x".to_owned()),
    "routes.r: the service x is not in the document")]
#[case::duplicate_route(|d: &mut Deployment| d.routes.push(route("s", "h", "/a/")),
    "routes.s: h/a/ is already used by r")]
#[case::no_weight(|d: &mut Deployment| d.routes[0].split[0].1 = 0,
    "routes.r.weights: they add up to 0")]
#[case::no_timeout(|d: &mut Deployment| d.routes[0].timeout = Duration::ZERO,
    "routes.r.timeout: it is 0")]
#[case::bad_prefix(|d: &mut Deployment| d.routes[0].prefix = "/a".to_owned(),
    "routes.r.prefix: \"/a\" does not begin and end with a slash")]
#[case::shared_key(|d: &mut Deployment| {
        let organisations = d.organisations.as_mut().expect("the configuration has organisations");
        organisations.push(organisation("owner", &["k2"]));
    }, "organisations.owner: a key is already used by family")]
fn check_fault(#[case] break_field: fn(&mut Deployment), #[case] expected: &str) {
    let mut broken = deployment(vec![route("r", "h", "/a/")]);
    break_field(&mut broken);
    let faults: Vec<String> = broken.check().iter().map(DeploymentFault::to_string).collect();
    assert_eq!(faults, vec![expected.to_owned()]);
}

#[rstest]
fn organisation_known_key() {
    let table = RouteTable::new(&deployment(vec![route("r", "h", "/a/")]));
    assert!(table.needs_keys());
    assert_eq!(
        table.organisation("k2").map(|organisation| organisation.name.as_str()),
        Some("family")
    );
    assert!(table.organisation("k3").is_none());
}

#[rstest]
#[case::with_port("Camp.Example:8080", true)]
#[case::plain("camp.example", true)]
#[case::other("owner.example", false)]
fn find_host(#[case] host: &str, #[case] found: bool) {
    let table = RouteTable::new(&deployment(vec![route("r", "camp.example", "/a/")]));
    assert_eq!(table.find(host, "/a/b").is_some(), found);
}

proptest! {
    #[test]
    fn find_longest_prefix(
        prefixes in proptest::collection::btree_set("/([ab]/){0,3}", 1..8),
        path in "/([ab]/){0,4}[ab]{0,2}",
    ) {
        let routes = prefixes.iter().map(|prefix| route(prefix, "h", prefix)).collect();
        let table = RouteTable::new(&deployment(routes));
        let reference = prefixes
            .iter()
            .filter(|prefix| path.starts_with(prefix.as_str()))
            .max_by_key(|prefix| prefix.len());
        let found = table.find("h", &path).map(|route| &route.prefix);
        prop_assert_eq!(found, reference);
    }
}
