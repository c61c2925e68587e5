//! Tests of the digest by which a repeated request is recognised.

use hollowbarrow_routing::RequestContent;
use rstest::rstest;

const CONTENT: RequestContent<'_> = RequestContent {
    organisation: "family",
    method: "POST",
    host: "camp.example",
    target: "/chat/1",
    body: b"{}",
};

#[rstest]
fn digest_same_content() {
    assert_eq!(CONTENT.digest(), CONTENT.digest());
}

#[rstest]
#[case::organisation(RequestContent { organisation: "desk", ..CONTENT })]
#[case::method(RequestContent { method: "GET", ..CONTENT })]
#[case::host(RequestContent { host: "desk.example", ..CONTENT })]
#[case::target(RequestContent { target: "/chat/2", ..CONTENT })]
#[case::body(RequestContent { body: b"[]", ..CONTENT })]
#[case::bytes_moved(RequestContent { target: "/chat/1{", body: b"}", ..CONTENT })]
fn digest_other_content(#[case] other: RequestContent<'_>) {
    assert_ne!(CONTENT.digest(), other.digest());
}
