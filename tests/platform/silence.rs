//! Silences that are no losses: processes of the system and workers that pause and continue.
//!
//! Guards against giving up replicas, and the answers in progress with them, for a silence alone.

use std::time::Duration;

use rstest::rstest;

use crate::system::{CONTROLLERS, Signal};
use crate::{Deployment, deploy, wait_for_replicas};

/// Time in which replicas that were given up would be closed and left.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Returns the membership of each engine.
fn memberships(deployment: &Deployment) -> Vec<Option<(String, &'static str)>> {
    deployment.engines.iter().map(|engine| engine.membership()).collect()
}

/// Controllers are suspended, one or all together, and continue.
#[rstest]
#[case::one_short(67, 1, 700)]
#[case::one_long(68, 1, 3000)]
#[case::all_short(69, CONTROLLERS, 700)]
#[case::all_long(70, CONTROLLERS, 3000)]
#[tokio::test]
async fn replicas_kept_over_suspension(
    #[case] block: u8,
    #[case] suspended: usize,
    #[case] length_ms: u64,
) {
    let deployment = deploy(block).await;
    let system = &deployment.system;
    system.call_until_served("/chat/1", "warm").await;
    wait_for_replicas(&deployment, 2).await;
    let before = memberships(&deployment);
    (0..suspended).for_each(|controller| system.signal(controller, Signal::Stop));
    tokio::time::sleep(Duration::from_millis(length_ms)).await;
    (0..suspended).for_each(|controller| system.signal(controller, Signal::Continue));
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(memberships(&deployment), before, "{}", system.logs());
}

/// All workers are out of touch with controllers for a time, and serve meanwhile.
#[rstest]
#[tokio::test]
async fn replicas_kept_while_all_workers_silent() {
    let deployment = deploy(71).await;
    let system = &deployment.system;
    system.call_until_served("/chat/1", "warm").await;
    wait_for_replicas(&deployment, 2).await;
    let before = memberships(&deployment);
    deployment.engines.iter().for_each(|engine| engine.set_partitioned(true));
    tokio::time::sleep(Duration::from_millis(2500)).await;
    deployment.engines.iter().for_each(|engine| engine.set_partitioned(false));
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(memberships(&deployment), before, "{}", system.logs());
}
