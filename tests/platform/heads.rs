//! Answers of workers whose head is none: its status is none of HTTP, or it stops midway.
//!
//! Guards against such an answer that reaches a caller as the answer to its request.

use std::sync::Arc;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;

use crate::raw_worker::{
    AnswerForm, AnswerPlan, NOT_REPEATABLE, REPEATABLE, RawDeployment, RawWorker, STREAM,
    whole_answer,
};
use crate::system::{CONTROLLERS, KEY, Layout};

/// Status lines without a status of HTTP that a request without `Upgrade` may get.
const INVALID_STATUSES: [&str; 6] = [
    "000 Unknown",
    "099 Unknown",
    "101 Switching Protocols",
    "600 Unknown",
    "700 Unknown",
    "999 Unknown",
];
/// Ends of heads that stop midway: within the status line, after it, within a header's name, within
/// its value, before the end of the last header, and within the blank line.
const CUTS: [&str; 7] = [
    "HTTP/1.1 2",
    "200 OK\r",
    "200 OK\r\nr",
    "request-",
    "response-signature: r",
    "\r\n\r",
    "\r\n\r\n",
];
/// Answer of a gateway to a request that may have run and has no answer.
const BAD_GATEWAY: u16 = 502;

/// Sends a request to the first gateway; returns the status and the body that the caller gets.
async fn call(deployment: &RawDeployment, id: &str) -> (u16, String) {
    let answer = deployment.system.call(0, "/hold/1", id, Some(KEY)).await;
    let answer = answer.unwrap_or_else(|error| panic!("{error}: {}", deployment.system.logs()));
    (answer.status().as_u16(), String::from_utf8_lossy(answer.body()).into_owned())
}

/// Starts workers behind a route of this kind, reached by the first gateway itself or through
/// another one.
async fn start(block: u8, kind: &str, through_peer: bool) -> RawDeployment {
    if !through_peer {
        return RawDeployment::start(block, Layout::plain(), kind).await;
    }
    let deployment = RawDeployment::start(block, Layout::zoned_behind_proxies(), kind).await;
    let source = deployment.system.source(CONTROLLERS);
    let cut = |worker: &Arc<RawWorker>| worker.set_source_mode(source, FaultMode::Severed);
    deployment.workers.iter().for_each(cut);
    deployment.system.call_gateway_until_served(0, "/hold/1", "carried").await;
    deployment
}

/// Checks that the caller of each of these answers is told that there is none, and that sound
/// answers are passed on after them.
async fn check(
    deployment: &RawDeployment,
    plans: impl Iterator<Item = AnswerPlan>,
    form: AnswerForm,
) {
    for (number, plan) in plans.enumerate() {
        deployment.fleet.set_plan(plan);
        let id = format!("invalid-{number}");
        let (status, body) = call(deployment, &id).await;
        assert_eq!(status, BAD_GATEWAY, "{plan:?}: {}", deployment.system.logs());
        assert!(!body.contains("part of a report") && !body.contains("token"), "{plan:?}: {body}");
        assert!(deployment.fleet.runs(&id) > 0, "{plan:?}: {}", deployment.system.logs());
    }
    deployment.fleet.set_plan(AnswerPlan::Status("200 OK", form));
    deployment.system.call_gateway_until_served(0, "/hold/1", "sound").await;
}

#[rstest]
#[case::length(173, REPEATABLE, AnswerForm::Length, false)]
#[case::length_once(174, NOT_REPEATABLE, AnswerForm::Length, false)]
#[case::chunks(175, REPEATABLE, AnswerForm::Chunks, false)]
#[case::connection(176, REPEATABLE, AnswerForm::Connection, false)]
#[case::stream(177, STREAM, AnswerForm::Events, false)]
#[case::stream_to_connection(178, STREAM, AnswerForm::EventsToConnection, false)]
#[case::through_peer(179, REPEATABLE, AnswerForm::Length, true)]
#[case::stream_through_peer(180, STREAM, AnswerForm::Events, true)]
#[tokio::test]
async fn invalid_status_not_forwarded(
    #[case] block: u8,
    #[case] kind: &str,
    #[case] form: AnswerForm,
    #[case] through_peer: bool,
) {
    let deployment = start(block, kind, through_peer).await;
    let plans = INVALID_STATUSES.into_iter().map(|status| AnswerPlan::Status(status, form));
    check(&deployment, plans, form).await;
}

#[rstest]
#[case::length(181, REPEATABLE, AnswerForm::Length, false)]
#[case::length_once(182, NOT_REPEATABLE, AnswerForm::Length, false)]
#[case::chunks(183, REPEATABLE, AnswerForm::Chunks, false)]
#[case::connection(184, NOT_REPEATABLE, AnswerForm::Connection, false)]
#[case::stream(185, STREAM, AnswerForm::Events, false)]
#[case::stream_to_connection(186, STREAM, AnswerForm::EventsToConnection, false)]
#[case::through_peer(187, NOT_REPEATABLE, AnswerForm::Connection, true)]
#[case::stream_through_peer(188, STREAM, AnswerForm::EventsToConnection, true)]
#[tokio::test]
async fn cut_head_not_forwarded(
    #[case] block: u8,
    #[case] kind: &str,
    #[case] form: AnswerForm,
    #[case] through_peer: bool,
) {
    let deployment = start(block, kind, through_peer).await;
    let plans = CUTS.into_iter().map(|last| AnswerPlan::CutHead(last, form));
    check(&deployment, plans, form).await;
}

/// Statuses at the bounds of those that are passed on.
#[rstest]
#[case::lowest("200 OK", 200)]
#[case::highest("599 Unknown", 599)]
#[tokio::test]
async fn valid_status_forwarded(#[case] line: &'static str, #[case] expected: u16) {
    let block = if expected == 200 { 189 } else { 190 };
    let deployment = start(block, NOT_REPEATABLE, false).await;
    deployment.fleet.set_plan(AnswerPlan::Status(line, AnswerForm::Length));
    let (status, body) = call(&deployment, "valid").await;
    assert_eq!((status, body), (expected, whole_answer("valid")));
}
