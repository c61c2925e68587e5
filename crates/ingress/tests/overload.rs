//! Tests of the limit on connections of callers while the process is overloaded.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_ingress::{ConnectionLimiter, OpenConnection};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[rstest]
fn open_without_delay() {
    let limiter = Arc::new(ConnectionLimiter::new());
    let start = Instant::now();
    let open: Vec<_> = (0..10_000).map(|_| limiter.open()).collect();
    (0..100).for_each(|tick| limiter.record_delay(ms(20), start + ms(25 * tick)));
    assert!(open.iter().all(Option::is_some));
    assert!(limiter.open().is_some());
}

/// One stop of the process closes no more than a few connections, and only for a moment.
#[rstest]
fn open_after_single_stop() {
    let limiter = Arc::new(ConnectionLimiter::new());
    let start = Instant::now();
    let open: Vec<_> = (0..100).map(|_| limiter.open().expect("there is no limit")).collect();
    limiter.record_delay(Duration::from_secs(5), start);
    (1..40).for_each(|tick| limiter.record_delay(Duration::ZERO, start + ms(25 * tick)));
    drop(open.into_iter().take(20).collect::<Vec<OpenConnection>>());
    assert!(limiter.open().is_some());
}

/// Time of the processor that a request takes, and that closing a connection unread takes, in
/// microseconds.
const REQUEST_US: u64 = 5_000;
const CLOSE_US: u64 = 150;
/// Time for which a worker runs a request.
const RUN_TIME: Duration = Duration::from_millis(800);
/// Time within which a request must get through this process.
const MAX_TIME: Duration = Duration::from_millis(200);
/// Time after which the process must serve what it reads.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Guards against a daemon that gets most connections of a region, reads all requests and serves few of
/// them in time: of those that it has read, it must serve three quarters, and still use its processor.
#[rstest]
#[case::twice(400)]
#[case::five_times(1000)]
fn overloaded_process_serves_what_it_reads(#[case] rate: u64) {
    let limiter = Arc::new(ConnectionLimiter::new());
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(rate);
    // The work that the processor has still to do, in microseconds, and the open connections.
    let mut backlog_us = 0_u64;
    let mut open: VecDeque<(Instant, OpenConnection)> = VecDeque::new();
    let (mut read, mut served) = (0, 0);
    for step in 0..10_000 {
        let now = start + ms(step);
        backlog_us = backlog_us.saturating_sub(1000);
        while open.front().is_some_and(|(end, _)| *end <= now) {
            open.pop_front();
        }
        if rng.random_range(0..1000) < rate {
            match limiter.open() {
                Some(connection) => {
                    backlog_us += REQUEST_US;
                    let delay = Duration::from_micros(backlog_us);
                    open.push_back((now + delay + RUN_TIME, connection));
                    if now > start + CONTACT_TIME {
                        read += 1;
                        served += u32::from(delay <= MAX_TIME);
                    }
                }
                None => backlog_us += CLOSE_US,
            }
        }
        if step % 25 == 0 {
            limiter.record_delay(Duration::from_micros(backlog_us), now);
        }
    }
    println!("{rate} a second: {served} of {read} served in time");
    assert!(f64::from(served) >= 0.75 * f64::from(read), "{served} of {read} are served");
    let capacity = (7_000_000 / REQUEST_US) as f64;
    assert!(f64::from(served) >= 0.6 * capacity, "{served} are served of {capacity} that could be");
}
