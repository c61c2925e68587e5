//! Connections between daemons: keys, rotation and sealed frames.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use hollowbarrow_peer::{FrameOpener, FrameSealer, MeshConfig, OpenFrameError, PeerMesh};
use hollowbarrow_schema::{DaemonId, ForwardReply, PeerMessage, ProposalOutcome};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

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

const KEY: &str = "key-a-0123456789";
/// A pause that does not end within a test.
const ENDLESS: Duration = Duration::from_secs(3600);
/// Limit of waiting for what must happen; no result depends on its length.
const PATIENCE: Duration = Duration::from_secs(20);
/// Number of peers that are each sent a first message.
const FIRST_MESSAGES: u64 = 400;
/// Time in which what must not happen is waited for.
const WATCH: Duration = Duration::from_millis(500);

fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

/// Starts a mesh that pauses endlessly after a failed attempt; what it receives goes to the receiver.
fn start_mesh(
    id: &str,
    key: &str,
    listener: TcpListener,
    (peer, address): (&str, SocketAddr),
) -> (PeerMesh, mpsc::Receiver<Option<u64>>) {
    let config = MeshConfig::new(&DaemonId::from(id), &[key.to_owned()])
        .with_backoff(ENDLESS, ENDLESS)
        .with_timeouts(PATIENCE, ENDLESS)
        .with_peer(&DaemonId::from(peer), address);
    let (sender, receiver) = mpsc::channel();
    let mesh = PeerMesh::start(config, listener, move |_, message| {
        let _ = sender.send(id_of(&message));
    });
    (mesh.expect("the mesh starts"), receiver)
}

/// Waits until a condition holds; returns whether it did within the time.
async fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = tokio::time::Instant::now() + limit;
    while tokio::time::Instant::now() < end {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    condition()
}

/// Starts the mesh `one`, whose first attempt to connect to `two` at the address has failed.
///
/// The listener accepts that attempt and closes it.
async fn start_paused(
    listener: TcpListener,
    two_at: SocketAddr,
    two: &TcpListener,
) -> (PeerMesh, mpsc::Receiver<Option<u64>>) {
    let (one, received) = start_mesh("one", KEY, listener, ("two", two_at));
    one.send(&DaemonId::from("two"), &message(1));
    drop(two.accept().expect("the first attempt arrives"));
    // The queue is cleared when the pause begins.
    assert!(wait_until(PATIENCE, || one.traffic().dropped() == 1).await);
    (one, received)
}

/// Guards against a first message that outlives the failed attempt to connect which it has caused,
/// because that attempt ended before the message was queued.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn first_messages_dropped_with_failed_attempts() {
    // The sockets keep their ports without listening, so that connections are refused.
    let closed: Vec<TcpSocket> = (0..FIRST_MESSAGES)
        .map(|_| TcpSocket::new_v4().expect("a socket can be created"))
        .collect();
    let mut config = MeshConfig::new(&DaemonId::from("one"), &[KEY.to_owned()])
        .with_backoff(ENDLESS, ENDLESS)
        .with_timeouts(PATIENCE, ENDLESS);
    let mut peers = Vec::new();
    for (number, socket) in closed.iter().enumerate() {
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
        let address = socket.local_addr().expect("a bound socket has an address");
        let peer = DaemonId(format!("peer{number}"));
        config = config.with_peer(&peer, address);
        peers.push(peer);
    }
    let (listener, _) = bind();
    let one = PeerMesh::start(config, listener, |_, _| {}).expect("the mesh starts");
    peers.iter().for_each(|peer| assert!(one.send(peer, &message(1))));
    let dropped = || one.traffic().dropped() == FIRST_MESSAGES;
    assert!(wait_until(PATIENCE, dropped).await, "{} dropped", one.traffic().dropped());
}

/// A daemon returns after its peers have failed to connect to it: they must connect once it has
/// connected to them, and not only after their pause.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn returned_peer_ends_pause() {
    let ((listener, one_at), (two_listener, two_at)) = (bind(), bind());
    let (one, _) = start_paused(listener, two_at, &two_listener).await;
    let (two, received) = start_mesh("two", KEY, two_listener, ("one", one_at));
    two.send(&DaemonId::from("one"), &message(2));
    let reached = wait_until(PATIENCE, || {
        one.send(&DaemonId::from("two"), &message(3));
        received.try_recv() == Ok(Some(3))
    });
    assert!(reached.await, "the returned peer is not reached");
}

/// Answers to what a returned peer sends first must not be dropped with the messages from before.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn returned_peer_is_answered() {
    let ((listener, one_at), (two_listener, two_at)) = (bind(), bind());
    let (one, asked) = start_paused(listener, two_at, &two_listener).await;
    let (two, received) = start_mesh("two", KEY, two_listener, ("one", one_at));
    two.send(&DaemonId::from("one"), &message(2));
    assert!(wait_until(PATIENCE, || asked.try_recv() == Ok(Some(2))).await);
    one.send(&DaemonId::from("two"), &message(3));
    assert!(wait_until(PATIENCE, || received.try_recv() == Ok(Some(3))).await);
}

/// A connection without a key of the cluster, or of another daemon, must not end a pause.
#[rstest]
#[case::other_key("two", "key-b-0123456789")]
#[case::unknown_daemon("three", KEY)]
#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_keeps_pause(#[case] id: &str, #[case] key: &str) {
    let ((listener, one_at), (two_listener, two_at)) = (bind(), bind());
    let (_one, _) = start_paused(listener, two_at, &two_listener).await;
    let (stranger_listener, _) = bind();
    let (stranger, _) = start_mesh(id, key, stranger_listener, ("one", one_at));
    stranger.send(&DaemonId::from("one"), &message(2));
    assert!(wait_until(PATIENCE, || stranger.traffic().dropped() == 1).await, "it is refused");
    two_listener.set_nonblocking(true).expect("a listener can be set to non-blocking");
    let attempted = wait_until(WATCH, || two_listener.accept().is_ok()).await;
    assert!(!attempted, "a refused connection ends the pause");
}

/// Each accepted connection may cause one attempt and no more, or daemons that start together would
/// connect without pauses.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn accepted_connection_causes_one_attempt() {
    let ((listener, one_at), (two_listener, two_at)) = (bind(), bind());
    let (_one, asked) = start_paused(listener, two_at, &two_listener).await;
    two_listener.set_nonblocking(true).expect("a listener can be set to non-blocking");
    let mut attempts = 0;
    for accepted in 1..=3 {
        let (other_listener, _) = bind();
        let (two, _) = start_mesh("two", KEY, other_listener, ("one", one_at));
        two.send(&DaemonId::from("one"), &message(2));
        assert!(wait_until(PATIENCE, || asked.try_recv() == Ok(Some(2))).await);
        let attempted = wait_until(PATIENCE, || {
            // Each attempt fails, since its connection is closed.
            attempts += usize::from(two_listener.accept().is_ok());
            attempts >= accepted
        });
        assert!(attempted.await, "no attempt after connection {accepted}");
        wait_until(WATCH, || {
            attempts += usize::from(two_listener.accept().is_ok());
            attempts > accepted
        })
        .await;
        assert_eq!(attempts, accepted);
    }
}

/// Connections that a peer repeats, or that another process opens in its name, must not end a
/// connection that works.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_connections_keep_working_one() {
    let ((listener, one_at), (front, two_at)) = (bind(), bind());
    let (two_listener, behind) = bind();
    let forwarded = Arc::<Forwarded>::default();
    forward(front, behind, Arc::clone(&forwarded));
    let (one, asked) = start_mesh("one", KEY, listener, ("two", two_at));
    let (_two, received) = start_mesh("two", KEY, two_listener, ("one", one_at));
    let to = DaemonId::from("two");
    one.send(&to, &message(1));
    assert!(wait_until(PATIENCE, || received.try_recv() == Ok(Some(1))).await);
    for id in 10..15 {
        let (other_listener, _) = bind();
        let (other, _) = start_mesh("two", KEY, other_listener, ("one", one_at));
        other.send(&DaemonId::from("one"), &message(id));
        assert!(wait_until(PATIENCE, || asked.try_recv() == Ok(Some(id))).await);
        one.send(&to, &message(id));
        assert!(wait_until(PATIENCE, || received.try_recv() == Ok(Some(id))).await);
    }
    assert_eq!(forwarded.connections.load(Ordering::Relaxed), 1);
}

/// An open connection may lead to a former process of a peer that has connected again: it must be
/// used at once, so that the peer's machine can reset it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn accepted_connection_probes_open_one() {
    let ((listener, one_at), (front, two_at)) = (bind(), bind());
    let (two_listener, behind) = bind();
    let forwarded = Arc::<Forwarded>::default();
    forward(front, behind, Arc::clone(&forwarded));
    let (one, _) = start_mesh("one", KEY, listener, ("two", two_at));
    let (_two, received) = start_mesh("two", KEY, two_listener, ("one", one_at));
    one.send(&DaemonId::from("two"), &message(1));
    assert!(wait_until(PATIENCE, || received.try_recv() == Ok(Some(1))).await);
    tokio::time::sleep(WATCH).await;
    let before = forwarded.bytes.load(Ordering::Relaxed);
    let (other_listener, _) = bind();
    let (other, _) = start_mesh("two", KEY, other_listener, ("one", one_at));
    other.send(&DaemonId::from("one"), &message(2));
    let used = wait_until(PATIENCE, || forwarded.bytes.load(Ordering::Relaxed) > before);
    assert!(used.await, "nothing is sent over the open connection");
}

/// Guards against attempts that all end at the same step, because a round trip takes longer than its
/// timeout.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn connect_over_link_slower_than_step() {
    let ((listener, one_at), (front, two_at)) = (bind(), bind());
    let (two_listener, behind) = bind();
    forward_late(front, behind);
    let to = DaemonId::from("two");
    let config = MeshConfig::new(&DaemonId::from("one"), &[KEY.to_owned()])
        .with_backoff(SHORT_STEP / 10, SHORT_STEP / 10)
        .with_timeouts(SHORT_STEP, ENDLESS)
        .with_peer(&to, two_at);
    let one = PeerMesh::start(config, listener, |_, _| {}).expect("the mesh starts");
    let (_two, received) = start_mesh("two", KEY, two_listener, ("one", one_at));
    let reached = wait_until(PATIENCE, || {
        one.send(&to, &message(1));
        received.try_recv() == Ok(Some(1))
    });
    assert!(reached.await, "no attempt leads to a connection");
}

/// Guards against an open connection that is closed as silent because this process did not run, and
/// against answers that lie unread meanwhile.
#[rstest]
#[tokio::test]
async fn connection_kept_while_stalled() {
    let ((listener, one_at), (front, two_at)) = (bind(), bind());
    let (two_listener, behind) = bind();
    let forwarded = Arc::<Forwarded>::default();
    let counted = Arc::clone(&forwarded);
    // The peer and the link run on a thread of their own.
    let (received_sender, received) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
        runtime.block_on(async move {
            forward(front, behind, counted);
            let (_two, from_one) = start_mesh("two", KEY, two_listener, ("one", one_at));
            while let Ok(number) = tokio::task::block_in_place(|| from_one.recv()) {
                let _ = received_sender.send(number);
            }
        });
    });
    let to = DaemonId::from("two");
    let config = MeshConfig::new(&DaemonId::from("one"), &[KEY.to_owned()])
        .with_timeouts(PATIENCE, SILENCE)
        .with_peer(&to, two_at);
    let one = PeerMesh::start(config, listener, |_, _| {}).expect("the mesh starts");
    for number in 0..STALLS {
        one.send(&to, &message(number));
        assert!(wait_until(PATIENCE, || received.try_recv() == Ok(Some(number))).await);
        tokio::time::sleep(SILENCE / 8).await;
        std::thread::sleep(SILENCE * 2);
        tokio::time::sleep(SILENCE / 8).await;
    }
    assert_eq!(forwarded.connections.load(Ordering::Relaxed), 1);
}

/// Time of silence after which a connection is closed, and number of longer stalls.
const SILENCE: Duration = Duration::from_secs(1);
const STALLS: u64 = 3;

/// Timeout of a handshake step on a link whose round trips take longer, and the delay of that link in
/// each direction.
const SHORT_STEP: Duration = Duration::from_millis(500);
const LINK_DELAY: Duration = Duration::from_millis(300);

/// Forwards connections; each piece of data is delayed.
fn forward_late(front: TcpListener, to: SocketAddr) {
    front.set_nonblocking(true).expect("a listener can be set to non-blocking");
    let front = tokio::net::TcpListener::from_std(front).expect("the runtime takes the listener");
    tokio::spawn(async move {
        while let Ok((near, _)) = front.accept().await {
            let Ok(far) = tokio::net::TcpStream::connect(to).await else { continue };
            let (near_reader, near_writer) = near.into_split();
            let (far_reader, far_writer) = far.into_split();
            tokio::spawn(copy_late(far_reader, near_writer));
            tokio::spawn(copy_late(near_reader, far_writer));
        }
    });
}

async fn copy_late(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        tokio::time::sleep(LINK_DELAY).await;
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
}

/// What a forwarder has passed on.
#[derive(Default)]
struct Forwarded {
    connections: AtomicUsize,
    /// Bytes from the dialers.
    bytes: AtomicUsize,
}

/// Forwards connections and counts them and the dialers' bytes.
fn forward(front: TcpListener, to: SocketAddr, forwarded: Arc<Forwarded>) {
    front.set_nonblocking(true).expect("a listener can be set to non-blocking");
    let front = tokio::net::TcpListener::from_std(front).expect("the runtime takes the listener");
    tokio::spawn(async move {
        while let Ok((near, _)) = front.accept().await {
            forwarded.connections.fetch_add(1, Ordering::Relaxed);
            let Ok(far) = tokio::net::TcpStream::connect(to).await else { continue };
            let (mut near_reader, mut near_writer) = near.into_split();
            let (mut far_reader, mut far_writer) = far.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut far_reader, &mut near_writer).await });
            let forwarded = Arc::clone(&forwarded);
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while let Ok(length @ 1..) = near_reader.read(&mut buffer).await {
                    forwarded.bytes.fetch_add(length, Ordering::Relaxed);
                    if far_writer.write_all(&buffer[..length]).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
}

/// Guards against connections that are tried for as long as the process runs, to daemons that are gone.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn forget_ends_attempts_to_connect() {
    let (one, two) = (DaemonId::from("one"), DaemonId::from("two"));
    let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = gone.local_addr().expect("a bound listener has an address");
    let attempts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&attempts);
    tokio::spawn(async move {
        while gone.accept().await.is_ok() {
            counted.fetch_add(1, Ordering::SeqCst);
        }
    });
    let pause = Duration::from_millis(10);
    let config = MeshConfig::new(&one, &[KEY.to_owned()]).with_peer(&two, address);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let config = config.with_backoff(pause, pause);
    let mesh = PeerMesh::start(config, listener, |_, _| {}).expect("the mesh starts");
    let wait_for_attempts = async |number: usize| {
        while attempts.load(Ordering::SeqCst) < number {
            tokio::time::sleep(pause).await;
        }
    };
    mesh.send(&two, &message(1));
    wait_for_attempts(3).await;
    mesh.forget(&two);
    tokio::time::sleep(30 * pause).await;
    let after = attempts.load(Ordering::SeqCst);
    tokio::time::sleep(30 * pause).await;
    assert_eq!(attempts.load(Ordering::SeqCst), after, "a forgotten peer is not connected to");
    mesh.send(&two, &message(2));
    wait_for_attempts(after + 1).await;
}
