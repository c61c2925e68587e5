//! Crowds of connections on which no request is begun.

use std::time::Duration;

use rstest::rstest;

use crate::client::{ClientScript, Crowd, Repeats};
use crate::system::{CONTROLLERS, call_gateway};
use crate::{BODY_BYTES, CROWD_TIME, DESCRIPTORS, Deployment, gateway_daemon};

/// Clients with unfinished bodies beside the silent ones of a crowd at all addresses.
const LARGE_CLIENTS: usize = 40;
/// Connections of a crowd that sends frames to the mesh, and bytes of a frame.
const FRAME_CLIENTS: usize = 16;
const FRAME_BYTES: usize = 15 << 20;
/// Time in which the upgrade of such a connection is answered.
const UPGRADE_PAUSE: Duration = Duration::from_millis(500);
/// Connections of a crowd, more than twice what a process can open.
const CLIENTS: usize = 600;

/// A request that lacks a part of its body.
const PART_OF_BODY: &str = "POST /hold/1 HTTP/1.1\r\nhost: camp.example\r\nrequest-id: part\r\n\
    api-key: key-of-family\r\ncontent-length: 100\r\n\r\n{";

/// Address that a crowd presses on.
#[derive(Clone, Copy, Debug)]
enum Target {
    Callers,
    Readiness,
    GatewayMetrics,
    GatewayMesh,
    Control,
    ControllerMetrics,
    ControllerMesh,
}

impl Target {
    fn daemon(self) -> usize {
        match self {
            Self::Control | Self::ControllerMetrics | Self::ControllerMesh => 0,
            _ => gateway_daemon(0),
        }
    }

    fn address(self, deployment: &Deployment) -> String {
        let system = &deployment.system;
        match self {
            Self::Callers => system.gateways[0].clone(),
            Self::Readiness => system.readiness_address(0).to_owned(),
            Self::GatewayMetrics | Self::ControllerMetrics => {
                system.metrics_address(self.daemon()).to_owned()
            }
            Self::Control => system.controllers[0].clone(),
            Self::GatewayMesh | Self::ControllerMesh => system.mesh_address(self.daemon()),
        }
    }
}

/// Guards against silent connections that take all descriptors of a process, so that ordinary callers,
/// checks of readiness and other daemons get none.
#[rstest]
#[case::callers(21, Target::Callers, "")]
#[case::readiness(22, Target::Readiness, "")]
#[case::gateway_metrics(23, Target::GatewayMetrics, "")]
#[case::gateway_mesh(24, Target::GatewayMesh, "")]
#[case::control(25, Target::Control, "")]
#[case::controller_metrics(26, Target::ControllerMetrics, "")]
#[case::controller_mesh(27, Target::ControllerMesh, "")]
#[case::part_of_head(28, Target::Callers, "POST /hold/1 HTTP/1.1\r\nhost: ")]
#[case::part_of_head_at_control(29, Target::Control, "POST / HTTP/1.1\r\nhost: ")]
#[case::part_of_body(37, Target::Callers, PART_OF_BODY)]
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_bounded(
    #[case] block: u8,
    #[case] target: Target,
    #[case] first: &'static str,
) {
    let mut deployment = Deployment::start(block).await;
    let address = target.address(&deployment);
    let crowd = Crowd::start(&address, CLIENTS, &ClientScript::new(first));
    tokio::time::sleep(CROWD_TIME).await;
    let daemon = target.daemon();
    deployment.assert_ordinary_served().await;
    // Checks of readiness, metrics, workers and operators are answered beside the crowd too.
    deployment.system.wait_ready().await;
    assert!(deployment.system.metrics(daemon).await.contains("hollowbarrow_"));
    assert_eq!(deployment.system.fetch().await["version"], 3);
    deployment.assert_within_bounds(daemon);
    println!("{} connections were opened", crowd.connected());
    crowd.leave().await;
    deployment.assert_ordinary_served().await;
}

/// Returns a script for a frame that is sent before its sender has proved that it holds a key.
fn long_frame() -> ClientScript {
    let upgrade = "GET /peer HTTP/1.1\r\nhost: mesh\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
        sec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";
    // A final binary frame with a length of eight bytes and an empty mask.
    let mut frame = vec![0x82, 0xff];
    frame.extend_from_slice(&(FRAME_BYTES as u64).to_be_bytes());
    frame.extend_from_slice(&[0; 4]);
    frame.resize(frame.len() + FRAME_BYTES - 1, 0);
    ClientScript::new(upgrade).with_pause(UPGRADE_PAUSE).with_unit(frame, Repeats::Times(1))
}

/// Guards against frames that are held before the handshake of other daemons is complete.
#[rstest]
#[case::gateway(19, Target::GatewayMesh)]
#[case::controller(20, Target::ControllerMesh)]
#[tokio::test(flavor = "multi_thread")]
async fn mesh_frames_bounded(#[case] block: u8, #[case] target: Target) {
    let mut deployment = Deployment::start(block).await;
    let address = target.address(&deployment);
    let crowd = (FRAME_CLIENTS, CROWD_TIME);
    deployment.withstand(target.daemon(), &address, crowd, &long_frame()).await;
}

/// Guards against crowds at several addresses that together take more than each of them may.
#[rstest]
#[case::gateway(38, &[Target::Callers, Target::Readiness, Target::GatewayMetrics, Target::GatewayMesh])]
#[case::controller(39, &[Target::Control, Target::ControllerMetrics, Target::ControllerMesh])]
#[tokio::test(flavor = "multi_thread")]
async fn all_addresses_at_once(#[case] block: u8, #[case] targets: &[Target]) {
    let mut deployment = Deployment::start(block).await;
    let daemon = targets[0].daemon();
    let head = "POST /hold/1 HTTP/1.1\r\nhost: camp.example\r\nrequest-id: part\r\n\
        api-key: key-of-family\r\ncontent-length: 4194304\r\n\r\n";
    let bodies = ClientScript::new(head).with_unit(vec![b'x'; BODY_BYTES - 1], Repeats::Times(1));
    let address = targets[0].address(&deployment);
    let mut crowds = vec![Crowd::start(&address, LARGE_CLIENTS, &bodies)];
    for target in targets {
        let address = target.address(&deployment);
        crowds.push(Crowd::start(&address, CLIENTS / targets.len(), &ClientScript::new("")));
    }
    tokio::time::sleep(CROWD_TIME).await;
    deployment.assert_ordinary_served().await;
    deployment.system.wait_ready().await;
    assert!(deployment.system.metrics(daemon).await.contains("hollowbarrow_"));
    assert_eq!(deployment.system.fetch().await["version"], 3);
    deployment.assert_within_bounds(daemon);
    for crowd in crowds {
        crowd.leave().await;
    }
    deployment.assert_ordinary_served().await;
    deployment.assert_within_bounds(daemon);
}

/// Guards against refusals of ordinary callers who are far fewer than the descriptors allow.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn ordinary_callers_at_once() {
    let mut deployment = Deployment::start(30).await;
    let gateway = deployment.system.gateways[0].clone();
    let before = deployment.system.open_descriptors(CONTROLLERS);
    let callers = DESCRIPTORS as usize / 8;
    let calls = (0..callers).map(|number| {
        let (gateway, id) = (gateway.clone(), format!("at-once-{number}"));
        async move { call_gateway(&gateway, "/hold/1", &id, Some(crate::system::KEY)).await }
    });
    let answers = futures_util::future::join_all(calls).await;
    let served = answers.iter().flatten().filter(|answer| answer.status() == 200).count();
    assert_eq!(served, callers, "{}", deployment.system.logs());
    deployment.assert_within_bounds(CONTROLLERS);
    println!("{before} descriptors before");
}
