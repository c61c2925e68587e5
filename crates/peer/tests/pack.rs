//! Wire encoding of message bodies.

use std::borrow::Cow;

use hollowbarrow_peer::{UnpackBodyError, pack_body, unpack_body};
use proptest::prelude::*;
use rstest::rstest;

/// Text of routes with distinct names, like those of a configuration.
fn routes(count: u32) -> Vec<u8> {
    let route = |number: u32| {
        let name = number.wrapping_mul(2_654_435_761);
        format!(
            r#"{{"name":"r-{name:08x}","host":"camp.example","path":"/{name:x}/","service":"bookings","timeout":"4 s","attempts":2,"rank":2,"repeatable":true,"keys":["families","owners"]}},"#
        )
    };
    (0..count).map(route).collect::<String>().into_bytes()
}

/// A configuration of 7,000 routes must shrink to less than a fifth. When configurations were sent
/// uncompressed to each gateway, the queues of one controller dropped 1,700 of them in 30 s, and a
/// gateway lacked an acknowledged change for 4 s.
#[rstest]
fn pack_body_of_routes() {
    let body = routes(7000);
    let form = pack_body(&body);
    assert!(
        form.len() * 5 < body.len(),
        "{} of {} bytes after compression",
        form.len(),
        body.len()
    );
    assert_eq!(unpack_body(&form), Ok(Cow::Borrowed(&body[..])));
}

#[rstest]
#[case::no_form(&[], UnpackBodyError::UnknownForm)]
#[case::another_form(&[7, 1, 2], UnpackBodyError::UnknownForm)]
#[case::no_length(&[1, 2], UnpackBodyError::Damaged)]
#[case::no_content(&[1, 9, 0, 0, 0], UnpackBodyError::Damaged)]
#[case::too_large(&[1, 0, 0, 0, 255, 3], UnpackBodyError::TooLarge(0xff00_0000))]
fn unpack_body_damaged(#[case] form: &[u8], #[case] expected: UnpackBodyError) {
    assert_eq!(unpack_body(form), Err(expected));
}

/// A stated length that differs from that of the content is rejected.
#[rstest]
#[case::shorter(-1)]
#[case::longer(1)]
fn unpack_body_of_wrong_length(#[case] change: i64) {
    let body = routes(50);
    let mut form = pack_body(&body);
    let wrong = u32::try_from(body.len() as i64 + change).expect("small");
    form[1..5].copy_from_slice(&wrong.to_le_bytes());
    assert_eq!(unpack_body(&form), Err(UnpackBodyError::Damaged));
}

proptest! {
    #[test]
    fn unpack_body_round_trip(body in proptest::collection::vec(any::<u8>(), 0..5000)) {
        let form = pack_body(&body);
        prop_assert_eq!(unpack_body(&form), Ok(Cow::Owned(body)));
    }

    #[test]
    fn unpack_body_of_any_bytes(form in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = unpack_body(&form);
    }
}
