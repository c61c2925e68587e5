//! Which connections the gate closes, and when.

use std::time::Duration;

use hollowbarrow_ingress::{ClientConnection, ClientGate, ClientHandle, ListenerGate};
use rstest::rstest;
use tokio::time::{advance, timeout};

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
/// Longest wait for something that happens without a pause.
const SOON: Duration = Duration::from_millis(1);

fn open(listener: &ListenerGate) -> ClientConnection {
    listener.open().expect("the connection is admitted")
}

fn begin(client: &ClientHandle, has_body: bool) {
    client.begin_request(has_body).expect("the connection is not being closed");
}

async fn second() {
    advance(Duration::from_secs(1)).await;
}

fn closing(connections: &[&ClientConnection]) -> Vec<bool> {
    connections.iter().map(|connection| connection.handle().is_closing()).collect()
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn open_replaces_oldest_unused() {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 3);
    let used = open(&listener);
    begin(used.handle(), false);
    used.handle().end_request();
    second().await;
    let first = open(&listener);
    second().await;
    let second = open(&listener);
    let third = open(&listener);
    assert_eq!(closing(&[&used, &first, &second, &third]), [false, true, false, false]);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn open_refused_while_all_run() {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 2);
    let running = [open(&listener), open(&listener)];
    running.iter().for_each(|connection| begin(connection.handle(), false));
    assert!(listener.open().is_none());
    // A client that does not read its answer makes room.
    running[1].handle().set_unread(true);
    assert!(listener.open().is_some());
    assert_eq!(closing(&[&running[0], &running[1]]), [false, true]);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn open_leaves_other_listeners_alone() {
    let gate = ClientGate::new(MIB);
    let (callers, checks) = (gate.add_listener("callers", 4), gate.add_listener("checks", 1));
    let caller = open(&callers);
    second().await;
    let check = open(&checks);
    let _next = open(&checks);
    assert_eq!(closing(&[&caller, &check]), [false, true]);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn ready_waits_for_closed_connections() {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 1);
    let first = open(&listener);
    let _second = open(&listener);
    assert!(timeout(SOON, listener.ready()).await.is_err());
    drop(first);
    assert!(timeout(SOON, listener.ready()).await.is_ok());
}

/// However slow a client is, it is not closed while there is room.
#[rstest]
#[tokio::test(start_paused = true)]
async fn grow_in_calm_closes_nobody() {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 8);
    let (slow, other) = (open(&listener), open(&listener));
    begin(slow.handle(), true);
    let mut held = slow.handle().hold();
    held.grow(100 * KIB).await.expect("there is room");
    advance(Duration::from_secs(3600)).await;
    begin(other.handle(), true);
    let mut other_held = other.handle().hold();
    other_held.grow(100 * KIB).await.expect("there is room");
    assert_eq!(closing(&[&slow, &other]), [false, false]);
}

/// The body that has stalled for longest makes room, before any connection at rest.
#[rstest]
#[tokio::test(start_paused = true)]
async fn grow_closes_longest_stalled() {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 8);
    let resting = open(&listener);
    second().await;
    let bodies = [open(&listener), open(&listener)];
    let mut holds = Vec::new();
    for body in &bodies {
        begin(body.handle(), true);
        let mut hold = body.handle().hold();
        hold.grow(300 * KIB).await.expect("there is room");
        holds.push(hold);
        second().await;
    }
    let growing = open(&listener);
    begin(growing.handle(), true);
    let mut hold = growing.handle().hold();
    // The room is there once the connection that is closed has dropped what it holds.
    let wanted = hold.grow(300 * KIB);
    tokio::pin!(wanted);
    assert!(timeout(SOON, wanted.as_mut()).await.is_err());
    assert_eq!(closing(&[&resting, &bodies[0], &bodies[1]]), [false, true, false]);
    drop(holds.remove(0));
    wanted.await.expect("room was made");
}

/// Bytes that arrive one at a time are no progress.
#[rstest]
#[case::drops(1, true)]
#[case::progress(16 * KIB, false)]
#[tokio::test(start_paused = true)]
async fn grow_beside_slow_progress(#[case] bytes: usize, #[case] closed: bool) {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 8);
    let slow = open(&listener);
    begin(slow.handle(), true);
    let mut held = slow.handle().hold();
    held.grow(700 * KIB).await.expect("there is room");
    second().await;
    slow.handle().record_body(bytes);
    let growing = open(&listener);
    begin(growing.handle(), true);
    let mut hold = growing.handle().hold();
    let granted = timeout(SOON, hold.grow(300 * KIB)).await;
    assert_eq!(closing(&[&slow]), [closed], "{granted:?}");
}

/// Requests in progress are never given up, and a quarter of the budget stays for small requests.
#[rstest]
#[tokio::test(start_paused = true)]
async fn grow_refused_beside_running_requests() {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 8);
    let running = open(&listener);
    begin(running.handle(), true);
    let mut held = running.handle().hold();
    held.grow(700 * KIB).await.expect("there is room");
    running.handle().run_request().expect("it is not being closed");
    second().await;
    let late = open(&listener);
    begin(late.handle(), true);
    let mut hold = late.handle().hold();
    assert!(hold.grow(200 * KIB).await.is_err());
    assert!(hold.grow(64 * KIB).await.is_ok());
    assert_eq!(closing(&[&running, &late]), [false, false]);
    assert_eq!(gate.levels().refused, 1);
}

/// A large body that makes progress yields to a small request, but not to another large one.
#[rstest]
#[tokio::test(start_paused = true)]
async fn grow_small_request_finds_room() {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 64);
    let large = open(&listener);
    begin(large.handle(), true);
    let mut held = large.handle().hold();
    held.grow(700 * KIB).await.expect("there is room");
    let small: Vec<_> = (0..4).map(|_| open(&listener)).collect();
    let mut holds = Vec::new();
    for connection in &small {
        begin(connection.handle(), true);
        let mut hold = connection.handle().hold();
        holds.push(timeout(SOON, hold.grow(64 * KIB)).await.is_ok_and(|grown| grown.is_ok()));
        std::mem::forget(hold);
    }
    assert_eq!(holds, [true, true, true, false]);
    assert_eq!(closing(&[&large, &small[0]]), [true, false]);
}

/// A connection that is being closed runs no request that arrives in that moment.
#[rstest]
#[case::without_body(false)]
#[case::with_body(true)]
#[tokio::test(start_paused = true)]
async fn begin_request_refused_while_closing(#[case] has_body: bool) {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 1);
    let first = open(&listener);
    let _second = open(&listener);
    assert!(first.handle().begin_request(has_body).is_err());
}

/// The same for a body that is complete in that moment.
#[rstest]
#[tokio::test(start_paused = true)]
async fn run_request_refused_while_closing() {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 1);
    let first = open(&listener);
    begin(first.handle(), true);
    let _second = open(&listener);
    assert!(first.handle().run_request().is_err());
    assert!(first.handle().hold().grow(1).await.is_err());
    assert!(timeout(SOON, first.handle().closing()).await.is_ok());
}

/// What is held ends with the holds, also after its connection.
#[rstest]
#[tokio::test(start_paused = true)]
async fn levels_after_connections() {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 2);
    let connection = open(&listener);
    let mut hold = connection.handle().hold();
    hold.grow(10 * KIB).await.expect("there is room");
    assert_eq!(gate.levels().held_bytes, 26 * KIB);
    drop(connection);
    let levels = gate.levels();
    assert_eq!((levels.held_bytes, levels.listeners[0].open), (10 * KIB, 0));
    drop(hold);
    assert_eq!(gate.levels().held_bytes, 0);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn close_stalled_spares_connections_at_rest() {
    let gate = ClientGate::new(MIB);
    let listener = gate.add_listener("callers", 8);
    let (resting, silent) = (open(&listener), open(&listener));
    begin(resting.handle(), false);
    resting.handle().end_request();
    assert!(!listener.close_stalled(Duration::from_secs(1)));
    second().await;
    assert!(listener.close_stalled(Duration::from_secs(1)));
    assert!(!listener.close_stalled(Duration::from_secs(1)));
    assert_eq!(closing(&[&resting, &silent]), [false, true]);
}
