//! The only head of a model is lost while whole answers are asked of it.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::system::{KEY, Layout, System, configuration};
use crate::worker::Worker;

/// Workers of the model: one replica, and a spare.
const WORKERS: usize = 4;
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(100);
/// Time within which a replica with another head must serve.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(60);

/// How the head is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadLoss {
    /// Its process terminates.
    Terminated,
    /// It accepts connections, and neither answers nor reports any more.
    Hangs,
}

/// Guards against a lost head that is never replaced, because failed attempts at it count as progress of its
/// answers.
#[rstest]
#[case::terminated(251, HeadLoss::Terminated)]
#[case::hangs(252, HeadLoss::Hangs)]
#[tokio::test]
async fn lost_head_replaced(#[case] block: u8, #[case] loss: HeadLoss) {
    let system = Arc::new(System::start_with(block, Layout::plain()));
    let fleet = Fleet::new(system.controllers.clone());
    let start = |number| Worker::start(&fleet, &format!("e{number}"), "models", true);
    let workers: Vec<Arc<Worker>> = (0..WORKERS).map(start).collect();
    let mut whole = configuration(3);
    whole["routes"][0]["kind"] = "idempotent".into();
    assert_eq!(system.replace(&whole).await, 200);
    system.wait_ready().await;
    system.call_until_served("/chat/1", "warm").await;
    let signers = Arc::new(Mutex::new(BTreeSet::new()));
    let asking = tokio::spawn(ask(Arc::clone(&system), Arc::clone(&signers)));
    wait_for_signer(&system, &signers, |_| true).await;
    let head = workers.iter().find(|worker| worker.is_open_head()).expect("a replica is open");
    match loss {
        HeadLoss::Terminated => head.kill(),
        HeadLoss::Hangs => {
            head.set_unresponsive();
            head.set_partitioned(true);
        }
    }
    wait_for_signer(&system, &signers, |signer| signer != head.id).await;
    asking.abort();
}

/// Sends requests to the gateways in turn, and records the workers that answer them.
async fn ask(system: Arc<System>, signers: Arc<Mutex<BTreeSet<String>>>) {
    for number in 0.. {
        let (system, signers) = (Arc::clone(&system), Arc::clone(&signers));
        tokio::spawn(async move {
            let id = format!("whole-{number}");
            let Ok(answer) = system.call(number % 2, "/chat/1", &id, Some(KEY)).await else {
                return;
            };
            let signature = answer.headers().get("response-signature");
            let signature = signature.and_then(|value| value.to_str().ok()).unwrap_or_default();
            let signer = signature.split('.').next().unwrap_or_default().to_owned();
            if answer.status().as_u16() == 200 {
                signers.lock().expect("not poisoned").insert(signer);
            }
        });
        tokio::time::sleep(PAUSE).await;
    }
}

/// Waits until one of these workers has answered.
async fn wait_for_signer(
    system: &System,
    signers: &Mutex<BTreeSet<String>>,
    wanted: impl Fn(&str) -> bool,
) {
    let deadline = Instant::now() + REPLACEMENT_TIMEOUT;
    while !signers.lock().expect("not poisoned").iter().any(|signer| wanted(signer)) {
        assert!(Instant::now() < deadline, "no such worker answers: {}", system.logs());
        tokio::time::sleep(PAUSE).await;
    }
}
