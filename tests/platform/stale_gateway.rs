//! A gateway that knows of a newer configuration than the one it has.
//!
//! A gateway that has missed a change would answer 404 or 401 on requests that the change allows,
//! and callers do not retry after these. The leader's views reach the gateway even if the log of
//! its primary controller is stalled, so the gateway knows that it is behind. Until it has caught
//! up, it must not deny the existence of a route or a key, and it reports to every controller, not
//! only to its primary.

use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hollowbarrow_ingress::ProcessGate;
use hollowbarrow_member::{MemberLinks, read_member_settings};
use hollowbarrow_schema::{
    ControllerPlace, DaemonId, DeploymentDocument, FleetMessage, FleetView, PeerMessage, Term,
    ZoneId,
};
use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::system::{KEY, call_gateway, configuration, free_ports};

/// Interval between two views, and between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of polls after which a condition that must hold counts as failed.
const MAX_POLLS: usize = 200;
/// Number of reports to the primary controller during which the reports to the other controller are
/// counted.
const COUNTED_REPORTS: u64 = 60;

/// A stand-in controller that sends only the messages that the test requests.
struct StandinController {
    links: MemberLinks,
    /// Number of reports of the gateway, and the configuration version in the last one.
    reports: Arc<(AtomicU64, AtomicU64)>,
}

impl StandinController {
    fn start(settings: &Value) -> Self {
        let settings =
            read_member_settings("test", &settings.to_string()).expect("the settings are valid");
        let reports: Arc<(AtomicU64, AtomicU64)> = Arc::default();
        let counters = Arc::clone(&reports);
        let links = MemberLinks::start(
            &settings,
            &ProcessGate::new(settings.memory_mb, settings.descriptors),
            move |_, message| {
                if let PeerMessage::Fleet(FleetMessage::Gateway(hello)) = message {
                    counters.0.fetch_add(1, Ordering::SeqCst);
                    counters.1.store(hello.deployment, Ordering::SeqCst);
                }
            },
        );
        Self { links: links.expect("the address is free"), reports }
    }

    fn count(&self) -> u64 {
        self.reports.0.load(Ordering::SeqCst)
    }

    fn reported_version(&self) -> u64 {
        self.reports.1.load(Ordering::SeqCst)
    }

    fn send_configuration(&self, gateway: &DaemonId, version: u64) {
        let text = configuration(version).to_string();
        let document = DeploymentDocument { version, text };
        self.links.send(gateway, FleetMessage::Deployment(document));
    }
}

/// A gateway process with two stand-in controllers.
struct Fixture {
    primary: Arc<StandinController>,
    other: StandinController,
    gateway: DaemonId,
    callers: String,
    /// Version that the leader's views name, or `None` while no views are sent.
    view_version: Arc<Mutex<Option<u64>>>,
    /// Time in milliseconds for which views are held up on their way.
    held_ms: Arc<AtomicU64>,
    process: Child,
    _folder: TempDir,
}

impl Fixture {
    fn start(block: u8) -> Self {
        let folder = tempfile::tempdir().expect("a temporary directory can be created");
        let [mesh, callers, readiness] = free_ports();
        let ip = |number: u8| format!("127.77.{block}.{number}");
        let settings = |number: u8, zone: &str| {
            json!({"name": format!("d{number}"), "zone": zone, "ip": ip(number),
                "mesh_port": mesh, "seeds": [ip(1), ip(2)], "cluster_keys": ["test"],
                "callers": format!("{}:{callers}", ip(number)),
                "readiness": format!("{}:{readiness}", ip(number))})
        };
        let primary = Arc::new(StandinController::start(&settings(1, "a")));
        let other = StandinController::start(&settings(2, "b"));
        let path = folder.path().join("gateway.json");
        std::fs::write(&path, settings(3, "a").to_string()).expect("settings can be written");
        let process = Command::new(env!("CARGO_BIN_EXE_hollowbarrow"))
            .args(["gateway", "--settings"])
            .arg(&path)
            .stderr(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the binary starts");
        let gateway = DaemonId(format!("{}:{mesh}", ip(3)));
        let view_version = Arc::default();
        let held_ms = Arc::default();
        let controllers = vec![
            ControllerPlace { id: primary.links.id().clone(), zone: ZoneId::from("a") },
            ControllerPlace { id: other.links.id().clone(), zone: ZoneId::from("b") },
        ];
        tokio::spawn(send_views(
            Arc::clone(&primary),
            gateway.clone(),
            controllers,
            Arc::clone(&view_version),
            Arc::clone(&held_ms),
        ));
        let callers = format!("{}:{callers}", ip(3));
        Self { primary, other, gateway, callers, view_version, held_ms, process, _folder: folder }
    }

    fn set_view_version(&self, version: u64) {
        *self.view_version.lock().expect("not poisoned") = Some(version);
    }

    /// Stops sending views.
    fn stop_views(&self) {
        *self.view_version.lock().expect("not poisoned") = None;
    }

    /// Sends a configuration until the gateway reports its version.
    async fn deliver(&self, version: u64) {
        for _ in 0..MAX_POLLS {
            self.primary.send_configuration(&self.gateway, version);
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.primary.reported_version() == version {
                return;
            }
        }
        panic!("the gateway does not report version {version}");
    }

    async fn status(&self, path: &str, key: &str) -> u16 {
        let answer = call_gateway(&self.callers, path, "stale", Some(key)).await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    async fn wait_status(&self, path: &str, key: &str, expected: u16) {
        let mut status = 0;
        for _ in 0..MAX_POLLS {
            status = self.status(path, key).await;
            if status == expected {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{path} got status {status}, expected {expected}");
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

async fn send_views(
    primary: Arc<StandinController>,
    gateway: DaemonId,
    controllers: Vec<ControllerPlace>,
    view_version: Arc<Mutex<Option<u64>>>,
    held_ms: Arc<AtomicU64>,
) {
    let started = Instant::now();
    for number in 1.. {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Some(deployment) = *view_version.lock().expect("not poisoned") else { continue };
        let held_ms = held_ms.load(Ordering::SeqCst);
        let view = FleetView {
            term: Term(1),
            number,
            deployment,
            gateways: 1,
            controllers: controllers.clone(),
            withheld: Vec::new(),
            loads: Vec::new(),
            held: Vec::new(),
            leader: None,
            limits: Vec::new(),
            crashes: Vec::new(),
            sent_ms: Some((started.elapsed().as_millis() as u64).saturating_sub(held_ms)),
        };
        primary.links.send(&gateway, FleetMessage::View(view));
    }
}

/// Delivers version 3 to the gateway, then sends views that name version 5.
async fn fall_behind(fixture: &Fixture) {
    fixture.set_view_version(3);
    fixture.deliver(3).await;
    fixture.wait_status("/none/1", KEY, 404).await;
    fixture.wait_status("/chat/1", "other", 401).await;
    fixture.set_view_version(5);
}

#[rstest]
#[tokio::test]
async fn refusal_behind() {
    let fixture = Fixture::start(11);
    fall_behind(&fixture).await;
    fixture.wait_status("/none/1", KEY, 503).await;
    fixture.wait_status("/chat/1", "other", 503).await;
    fixture.primary.send_configuration(&fixture.gateway, 5);
    fixture.wait_status("/none/1", KEY, 404).await;
    fixture.wait_status("/chat/1", "other", 401).await;
}

/// Guards against gateways that answer 404 on an acknowledged route after all machines lost power.
/// No leader published the newest version, and the configuration of the gateways came from a
/// controller that had just started.
#[rstest]
#[tokio::test]
async fn refusal_without_views() {
    let fixture = Fixture::start(13);
    fixture.deliver(3).await;
    assert_eq!(
        fixture.status("/none/1", KEY).await,
        503,
        "no leader has published the newest version"
    );
    fixture.set_view_version(3);
    fixture.wait_status("/none/1", KEY, 404).await;
    fixture.wait_status("/chat/1", "other", 401).await;
    fixture.stop_views();
    fixture.wait_status("/none/1", KEY, 503).await;
    fixture.wait_status("/chat/1", "other", 503).await;
}

/// Guards against a gateway that denies an acknowledged route because views from before the change
/// reach it late.
#[rstest]
#[tokio::test]
async fn refusal_with_delayed_views() {
    let fixture = Fixture::start(14);
    fixture.set_view_version(3);
    fixture.deliver(3).await;
    fixture.wait_status("/none/1", KEY, 404).await;
    fixture.held_ms.store(2000, Ordering::SeqCst);
    fixture.wait_status("/none/1", KEY, 503).await;
    fixture.wait_status("/chat/1", "other", 503).await;
    fixture.held_ms.store(0, Ordering::SeqCst);
    fixture.wait_status("/none/1", KEY, 404).await;
    fixture.wait_status("/chat/1", "other", 401).await;
}

#[rstest]
#[tokio::test]
async fn report_behind() {
    let fixture = Fixture::start(12);
    fall_behind(&fixture).await;
    fixture.wait_status("/chat/1", KEY, 503).await;
    let (primary, other) = (fixture.primary.count(), fixture.other.count());
    for _ in 0..MAX_POLLS {
        if fixture.primary.count() >= primary + COUNTED_REPORTS {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let reports = fixture.other.count() - other;
    assert!(reports >= COUNTED_REPORTS / 6, "only {reports} reports reached the other controller");
}
