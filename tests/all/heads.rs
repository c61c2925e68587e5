//! Nodes whose answers to entry daemons have a head that is none: its status is none of HTTP, or it
//! stops midway.

use rstest::rstest;

use crate::raw_nodes::{INVALID_KEY, Plan, RawCluster, WHOLE};

/// Guards against such an answer that reaches a caller as the answer to its request.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_head_not_forwarded() {
    let cluster = RawCluster::start().await;
    for answer in [
        "HTTP/1.1 000 Unknown\r\ncontent-length: 5\r\n\r\nwrong",
        "HTTP/1.1 101 Switching Protocols\r\ncontent-length: 5\r\n\r\nwrong",
        "HTTP/1.1 600 Unknown\r\ncontent-length: 5\r\n\r\nwrong",
        "HTTP/1.1 999 Unknown\r\n\r\nwrong",
        "HTTP/1.1 2",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-ty",
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r",
    ] {
        *cluster.nodes.plan.lock().expect("not poisoned") = Plan::Invalid(answer);
        let reply = cluster.read(INVALID_KEY).await;
        let log = cluster.cluster.log("a0");
        assert!((500..=599).contains(&reply.status), "{answer:?}: {}: {log}", reply.status);
        assert!(!reply.body.contains("wrong"), "{answer:?}: {}: {log}", reply.body);
        let sound = cluster.read("sound").await;
        assert_eq!((sound.status, sound.body.as_str()), (200, WHOLE), "{answer:?}: {log}");
    }
    assert!(cluster.nodes.runs(INVALID_KEY) > 0, "the nodes are asked");
}
