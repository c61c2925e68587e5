//! Connections between daemons: keys, rotation and sealed frames.

use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

use hollowbarrow_peer::{FrameOpener, FrameSealer, MeshConfig, OpenFrameError, PeerMesh};
use hollowbarrow_schema::{DaemonId, ForwardReply, PeerMessage, ProposalOutcome};
use rstest::rstest;

fn message(id: u64) -> PeerMessage {
    PeerMessage::Reply(ForwardReply { id, outcome: ProposalOutcome::Busy })
}

fn id_of(message: &PeerMessage) -> Option<u64> {
    match message {
        PeerMessage::Reply(reply) => Some(reply.id),
        _ => None,
    }
}

/// Returns whether a message is delivered between two daemons with the given keys.
async fn reaches(dial_keys: &[&str], accept_keys: &[&str], known: bool) -> bool {
    let keys = |keys: &[&str]| keys.iter().map(|key| (*key).to_owned()).collect::<Vec<_>>();
    let (one, two) = (DaemonId::from("one"), DaemonId::from("two"));
    let listeners: Vec<TcpListener> =
        (0..2).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free")).collect();
    let address = |n: usize| listeners[n].local_addr().expect("a bound listener has an address");
    let (one_at, two_at) = (address(0), address(1));
    let mut listeners = listeners.into_iter();
    let dial = MeshConfig::new(&one, &keys(dial_keys)).with_peer(&two, two_at);
    let accept = MeshConfig::new(&two, &keys(accept_keys));
    let accept = if known { accept.with_peer(&one, one_at) } else { accept };
    let (sender, receiver) = mpsc::channel();
    let dialer = PeerMesh::start(dial, listeners.next().expect("two listeners exist"), |_, _| {});
    let _acceptor = PeerMesh::start(
        accept,
        listeners.next().expect("two listeners exist"),
        move |from, message| {
            let _ = sender.send((from.clone(), id_of(&message)));
        },
    );
    let dialer = dialer.expect("the mesh starts");
    for _ in 0..60 {
        dialer.send(&two, &message(7));
        tokio::time::sleep(Duration::from_millis(25)).await;
        if let Ok(received) = receiver.try_recv() {
            assert_eq!(received, (one, Some(7)));
            return true;
        }
    }
    false
}

#[rstest]
#[case::same_key(&["key-a-0123456789"], &["key-a-0123456789"], true, true)]
#[case::old_key_accepted(&["key-a-0123456789"], &["key-b-0123456789", "key-a-0123456789"], true, true)]
#[case::new_key_accepted(&["key-b-0123456789", "key-a-0123456789"], &["key-a-0123456789", "key-b-0123456789"], true, true)]
#[case::other_key(&["key-a-0123456789"], &["key-b-0123456789"], true, false)]
#[case::unknown_daemon(&["key-a-0123456789"], &["key-a-0123456789"], false, false)]
#[tokio::test(flavor = "multi_thread")]
async fn connect_with_keys(
    #[case] dial: &[&str],
    #[case] accept: &[&str],
    #[case] known: bool,
    #[case] reached: bool,
) {
    assert_eq!(reaches(dial, accept, known).await, reached);
}

#[rstest]
fn open_sealed_frames() {
    let mut sealer = FrameSealer::new(vec![1; 32]);
    let mut opener = FrameOpener::new(vec![1; 32]);
    for id in 0..5 {
        let frame = sealer.seal(&message(id));
        assert_eq!(opener.open(&frame).map(|message| id_of(&message)), Ok(Some(id)));
    }
}

#[rstest]
fn open_modified_frames() {
    let mut sealer = FrameSealer::new(vec![1; 32]);
    let frames: Vec<Vec<u8>> = (0..3).map(|id| sealer.seal(&message(id))).collect();
    let mut opener = FrameOpener::new(vec![1; 32]);
    for position in 0..frames[0].len() {
        let mut modified = frames[0].clone();
        modified[position] ^= 1;
        assert_eq!(
            opener.open(&modified).err(),
            Some(OpenFrameError::WrongCode),
            "byte {position}"
        );
    }
    assert!(opener.open(&frames[0]).is_ok());
    let repeated = opener.open(&frames[0]);
    assert_eq!(repeated.err(), Some(OpenFrameError::WrongNumber { expected: 1, found: 0 }));
    let skipped = opener.open(&frames[2]);
    assert_eq!(skipped.err(), Some(OpenFrameError::WrongNumber { expected: 1, found: 2 }));
    let other = FrameOpener::new(vec![2; 32]).open(&frames[0]);
    assert_eq!(other.err(), Some(OpenFrameError::WrongCode));
    assert_eq!(opener.open(&frames[1][..9]).err(), Some(OpenFrameError::TooShort(9)));
}
