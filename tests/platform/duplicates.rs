//! Requests of equal content that arrive at one gateway at once.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::deploy;
use crate::system::{KEY, configuration};

/// Time that the worker takes for each request.
const SERVICE_TIME: Duration = Duration::from_millis(600);
/// Objective of the route, in milliseconds. A duplicate waits for a little more than that.
const OBJECTIVE_MS: u64 = 1000;
const CALLS: usize = 15;
/// Timeout for the configuration to be in force.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Callers whose requests have the same content are all served, the first one alone and the others
/// together once it is answered.
///
/// Guards against sending the others one after the other, and refusing those whose turn does not
/// come in time.
#[rstest]
#[tokio::test]
async fn serve_equal_calls_at_once() {
    let deployment = deploy(19).await;
    let system = &deployment.system;
    let mut slow = configuration(4);
    slow["routes"][1]["target_latency_ms"] = OBJECTIVE_MS.into();
    assert_eq!(system.replace(&slow).await, 200);
    let limit = Instant::now() + CONFIGURATION_TIMEOUT;
    while system.version_at(0).await < 4 {
        assert!(Instant::now() < limit, "the route is not in force: {}", system.logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    system.call_gateway_until_served(0, "/hold/1", "warm").await;
    deployment.plain.set_service_time(SERVICE_TIME);
    let calls = (0..CALLS).map(async |number| {
        let id = format!("guest-{number}");
        let answer = system.call(0, "/hold/2", &id, Some(KEY)).await;
        answer.expect("the gateway answers").status().as_u16()
    });
    let statuses = futures_util::future::join_all(calls).await;
    assert_eq!(statuses, vec![200; CALLS], "{}", system.logs());
}
