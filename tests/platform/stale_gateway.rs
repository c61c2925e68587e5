//! A gateway that knows of a configuration which it does not hold.
//!
//! A gateway that has missed a change refuses with 404 or 401 what the change allows, and callers
//! do not ask again after that. Views of the leader reach it also where its home's own log hangs,
//! so it can know that it is behind: until it has caught up it may tell nobody that a route or a
//! key does not exist, and it asks every controller, not its home alone.

use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowbarrow_member::{MemberLinks, read_member_settings};
use hollowbarrow_schema::{
    ControllerPlace, DaemonId, DeploymentDocument, FleetMessage, FleetView, PeerMessage, Term,
    ZoneId,
};
use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::system::{KEY, call_gateway, configuration, free_ports};

/// Pause between two views, and between two looks at what is waited for.
const POLL: Duration = Duration::from_millis(50);
/// Looks before something that must happen counts as missing.
const LOOKS: usize = 200;
/// Reports to the home in which the reports to others are counted.
const COUNTED_REPORTS: u64 = 60;

/// A controller that tells only what the test has it tell.
struct StandinController {
    links: MemberLinks,
    /// Reports of the gateway so far, and the version that the last one told of.
    reports: Arc<(AtomicU64, AtomicU64)>,
}

impl StandinController {
    fn start(settings: &Value) -> Self {
        let settings = read_member_settings("test", &settings.to_string()).expect("sound");
        let reports: Arc<(AtomicU64, AtomicU64)> = Arc::default();
        let noted = Arc::clone(&reports);
        let links = MemberLinks::start(&settings, move |_, message| {
            if let PeerMessage::Fleet(FleetMessage::Gateway(hello)) = message {
                noted.0.fetch_add(1, Ordering::SeqCst);
                noted.1.store(hello.deployment, Ordering::SeqCst);
            }
        });
        Self { links: links.expect("the address is free"), reports }
    }

    fn count(&self) -> u64 {
        self.reports.0.load(Ordering::SeqCst)
    }

    fn told_version(&self) -> u64 {
        self.reports.1.load(Ordering::SeqCst)
    }

    fn send_configuration(&self, gateway: &DaemonId, version: u64) {
        let text = configuration(version).to_string();
        let document = DeploymentDocument { version, text };
        self.links.send(gateway, FleetMessage::Deployment(document));
    }
}

/// A gateway's process, before two stand-in controllers.
struct Scene {
    home: Arc<StandinController>,
    other: StandinController,
    gateway: DaemonId,
    callers: String,
    /// Version that the leader's views name; none while no view comes.
    viewed: Arc<Mutex<Option<u64>>>,
    process: Child,
    _folder: TempDir,
}

impl Scene {
    fn start(block: u8) -> Self {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let [mesh, callers, readiness] = free_ports();
        let ip = |number: u8| format!("127.77.{block}.{number}");
        let settings = |number: u8, zone: &str| {
            json!({"name": format!("d{number}"), "zone": zone, "ip": ip(number),
                "mesh_port": mesh, "seeds": [ip(1), ip(2)], "cluster_keys": ["test"],
                "callers": format!("{}:{callers}", ip(number)),
                "readiness": format!("{}:{readiness}", ip(number))})
        };
        let home = Arc::new(StandinController::start(&settings(1, "a")));
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
        let viewed = Arc::default();
        let places = vec![
            ControllerPlace { id: home.links.id().clone(), zone: ZoneId::from("a") },
            ControllerPlace { id: other.links.id().clone(), zone: ZoneId::from("b") },
        ];
        tokio::spawn(send_views(Arc::clone(&home), gateway.clone(), places, Arc::clone(&viewed)));
        let callers = format!("{}:{callers}", ip(3));
        Self { home, other, gateway, callers, viewed, process, _folder: folder }
    }

    fn view(&self, version: u64) {
        *self.viewed.lock().expect("not poisoned") = Some(version);
    }

    /// Has no view come from now on.
    fn silence_views(&self) {
        *self.viewed.lock().expect("not poisoned") = None;
    }

    /// Has the gateway hold a version.
    async fn deliver(&self, version: u64) {
        for _ in 0..LOOKS {
            self.home.send_configuration(&self.gateway, version);
            tokio::time::sleep(POLL).await;
            if self.home.told_version() == version {
                return;
            }
        }
        panic!("the gateway does not take version {version}");
    }

    async fn status(&self, path: &str, key: &str) -> u16 {
        let answer = call_gateway(&self.callers, path, "stale", Some(key)).await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    async fn wait_status(&self, path: &str, key: &str, wanted: u16) {
        let mut status = 0;
        for _ in 0..LOOKS {
            status = self.status(path, key).await;
            if status == wanted {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("{path} is answered {status}, not {wanted}");
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

async fn send_views(
    home: Arc<StandinController>,
    gateway: DaemonId,
    controllers: Vec<ControllerPlace>,
    viewed: Arc<Mutex<Option<u64>>>,
) {
    for number in 1.. {
        tokio::time::sleep(POLL).await;
        let Some(deployment) = *viewed.lock().expect("not poisoned") else { continue };
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
        };
        home.links.send(&gateway, FleetMessage::View(view));
    }
}

/// Has the gateway hold version 3, and hear of version 5.
async fn fall_behind(scene: &Scene) {
    scene.view(3);
    scene.deliver(3).await;
    scene.wait_status("/none/1", KEY, 404).await;
    scene.wait_status("/chat/1", "other", 401).await;
    scene.view(5);
}

#[rstest]
#[tokio::test]
async fn refusal_behind() {
    let scene = Scene::start(11);
    fall_behind(&scene).await;
    scene.wait_status("/none/1", KEY, 503).await;
    scene.wait_status("/chat/1", "other", 503).await;
    scene.home.send_configuration(&scene.gateway, 5);
    scene.wait_status("/none/1", KEY, 404).await;
    scene.wait_status("/chat/1", "other", 401).await;
}

/// Gateways refused an acknowledged route with 404 after all machines had lost power. No leader
/// was there to tell them that it existed, and what they had came from a controller that had just
/// started.
#[rstest]
#[tokio::test]
async fn refusal_without_views() {
    let scene = Scene::start(13);
    scene.deliver(3).await;
    assert_eq!(scene.status("/none/1", KEY).await, 503, "no leader has told what is newest");
    scene.view(3);
    scene.wait_status("/none/1", KEY, 404).await;
    scene.wait_status("/chat/1", "other", 401).await;
    scene.silence_views();
    scene.wait_status("/none/1", KEY, 503).await;
    scene.wait_status("/chat/1", "other", 503).await;
}

#[rstest]
#[tokio::test]
async fn report_behind() {
    let scene = Scene::start(12);
    fall_behind(&scene).await;
    scene.wait_status("/chat/1", KEY, 503).await;
    let (home, other) = (scene.home.count(), scene.other.count());
    for _ in 0..LOOKS {
        if scene.home.count() >= home + COUNTED_REPORTS {
            break;
        }
        tokio::time::sleep(POLL).await;
    }
    let reports = scene.other.count() - other;
    assert!(reports >= COUNTED_REPORTS / 6, "{reports} reports to a controller that can help");
}
