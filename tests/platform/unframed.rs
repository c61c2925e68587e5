//! Answers that have neither a length nor chunks, and end with their connection.

use rstest::rstest;

use crate::complete_stream;
use crate::deploy_workers;
use crate::fleet::{CrashPlan, Fleet};
use crate::system::{KEY, Layout, System};
use crate::worker::CUT_PATH;

/// Requests of each kind.
const REQUESTS: usize = 12;

/// Guards against answers that are cut, or taken for cut, because only their connection ends them.
/// Streams that end within an event were broken off, and are resumed.
#[rstest]
#[tokio::test]
async fn unframed_answers_served_whole() {
    let system = System::start_with(80, Layout::plain());
    let plan = CrashPlan { unframed: true, ..CrashPlan::default() };
    let fleet = Fleet::with_crash_plan(system.controllers.clone(), plan);
    let deployment = deploy_workers(system, fleet).await;
    let system = &deployment.system;
    system.call_until_served("/chat/warm", "warm").await;
    system.call_until_served("/hold/warm", "warm").await;
    for number in 0..REQUESTS {
        let id = format!("stream-{number}");
        let answer = system.call(number % 2, &format!("/chat/{number}"), &id, Some(KEY)).await;
        let answer = answer.unwrap_or_else(|error| panic!("{error}: {}", system.logs()));
        assert_eq!(String::from_utf8_lossy(answer.body()), complete_stream());
        let id = format!("hold-{number}");
        let answer = system.call(number % 2, &format!("/hold/{number}"), &id, Some(KEY)).await;
        let answer = answer.unwrap_or_else(|error| panic!("{error}: {}", system.logs()));
        assert_eq!(String::from_utf8_lossy(answer.body()), format!("tenant family request {id}"));
    }
    for number in 0..REQUESTS / 4 {
        let id = format!("cut-{number}");
        let path = format!("{CUT_PATH}-{number}");
        let answer = system.call(number % 2, &path, &id, Some(KEY)).await;
        let answer = answer.unwrap_or_else(|error| panic!("{error}: {}", system.logs()));
        assert_eq!(String::from_utf8_lossy(answer.body()), complete_stream());
        assert_eq!(deployment.fleet.runs(&id), 2, "{}", system.logs());
    }
}
