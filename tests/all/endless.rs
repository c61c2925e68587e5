//! Upstreams that send bytes without end to entry daemons.

use std::time::Duration;

use hollowbarrow_testkit::{ENDLESS_PROMPT, RawUpstream};
use rstest::rstest;
use serde_json::json;
use tokio::time::Instant;

use crate::raw_nodes::{ENDLESS_KEY, Plan, RawCluster, WHOLE};
use crate::requests::{is_expected_answer, stream};
use crate::support::{nine_daemons, pause, serving_cluster};

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n";
const INFORMATIONAL: &str = "HTTP/1.1 100 Continue\r\n\r\n";
/// Time within which it is found that bytes without end are no answer.
const ANSWER_TIME: Duration = Duration::from_secs(8);
/// Time in which all connections to nodes that send bytes without end are closed.
const CLOSE_TIME_MS: u64 = 1000;
/// Time in which daemons ask nodes for reports several times.
const REPORTS_TIME_MS: u64 = 5000;
/// Connections of a probe in progress, at each of three daemons and for each of three nodes.
const PROBES: usize = 9;

impl RawCluster {
    fn endless_connections(&self) -> usize {
        self.upstreams.values().map(RawUpstream::endless_connections).sum()
    }
}

/// Guards against requests that wait for an answer which never begins or never ends, and against
/// connections that stay open after them.
#[rstest]
#[case::informational("", INFORMATIONAL)]
#[case::headers("HTTP/1.1 200 OK\r\n", "x: y\r\n")]
#[case::chunk_size(CHUNKED, "0")]
#[case::small_chunks(CHUNKED, "1\r\nx\r\n")]
#[case::no_length(NO_LENGTH, "x")]
#[tokio::test(flavor = "multi_thread")]
async fn endless_answer_bounded(#[case] first: &'static str, #[case] unit: &'static str) {
    let cluster = RawCluster::start().await;
    *cluster.nodes.plan.lock().expect("not poisoned") = Plan::Endless(first, unit);
    let started = Instant::now();
    let (endless, sound) = tokio::join!(cluster.read(ENDLESS_KEY), cluster.read("sound"));
    let log = cluster.cluster.log("a0");
    assert!(endless.status >= 500, "{} {}: {log}", endless.status, endless.body);
    assert!(started.elapsed() < ANSWER_TIME, "{:?}: {log}", started.elapsed());
    assert_eq!((sound.status, sound.body.as_str()), (200, WHOLE), "{log}");
    pause(CLOSE_TIME_MS).await;
    assert_eq!(cluster.endless_connections(), 0, "connections stay open: {log}");
}

/// Guards against probes that never end, and against daemons that cannot serve beside them.
#[rstest]
#[case::informational("", INFORMATIONAL)]
#[case::chunk_size(CHUNKED, "0")]
#[case::no_length(NO_LENGTH, "x")]
#[tokio::test(flavor = "multi_thread")]
async fn endless_reports_bounded(#[case] first: &'static str, #[case] unit: &'static str) {
    let cluster = RawCluster::start().await;
    *cluster.nodes.plan.lock().expect("not poisoned") = Plan::EndlessReports(first, unit);
    pause(REPORTS_TIME_MS).await;
    let open = cluster.endless_connections();
    assert!(open <= PROBES, "{open} connections are open: {}", cluster.cluster.log("a0"));
    *cluster.nodes.plan.lock().expect("not poisoned") = Plan::Whole;
    let deadline = Instant::now() + ANSWER_TIME;
    while cluster.read("after").await.body != WHOLE {
        assert!(Instant::now() < deadline, "not served after: {}", cluster.cluster.log("a0"));
        pause(100).await;
    }
    pause(CLOSE_TIME_MS).await;
    assert_eq!(cluster.endless_connections(), 0, "connections stay open");
}

/// Guards against streams that wait until their deadline, since each byte of an event without end counted
/// as progress.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_after_endless_event() {
    let limits = json!({"idle_ms": 1000});
    let cluster = serving_cluster(nine_daemons().with_limits(limits), 6).await;
    let reply = stream(cluster.caller_address("a0"), ENDLESS_PROMPT, 20).await;
    let log = cluster.log("a0");
    assert!(
        is_expected_answer(&reply, ENDLESS_PROMPT, 20),
        "{} {}: {log}",
        reply.status,
        reply.body
    );
}
