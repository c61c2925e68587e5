//! Generates a mix of requests like the users' and classifies their outcomes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowbarrow_testkit::{CALLER_KEY, CallReply, CallerCall, RunHistory, expected_token};
use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::Instant;

use crate::stats::DurationHistogram;

/// Tokens of a streamed answer.
const STREAM_TOKENS: u32 = 40;
/// Maximum attempts of a request, the first one included.
const MAX_ATTEMPTS: u32 = 6;
/// Number of distinct long prompt prefixes, which requests share so that prefixes repeat.
const SHARED_PROMPTS: u32 = 24;
/// Approximate bytes of a shared prompt prefix.
const PROMPT_BYTES: usize = 1500;

/// Shares of the kinds of requests, in thousandths.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadMix {
    pub(crate) name: &'static str,
    pub(crate) streams: u32,
    pub(crate) reads: u32,
    pub(crate) reservations: u32,
}

/// Tábortűz: drafts and answers are streamed, pitches are read and some are reserved.
pub(crate) const TABORTTUZ: LoadMix =
    LoadMix { name: "taborttuz", streams: 450, reads: 400, reservations: 150 };
/// The Settlement Desk: dispute letters must run at most once, records are read in batches.
pub(crate) const SETTLEMENT_DESK: LoadMix =
    LoadMix { name: "settlement_desk", streams: 250, reads: 500, reservations: 250 };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    /// Streamed completion.
    Stream,
    /// Repeatable read.
    Read,
    /// Reservation, which must run at most once and carries an idempotency key.
    Reserve,
}

/// Outcomes that callers observed over a run.
#[derive(Debug)]
pub(crate) struct LoadOutcome {
    /// Requests with a complete and correct answer.
    pub(crate) ok: u64,
    /// Requests whose last answer reports that they did not run.
    pub(crate) not_run: u64,
    /// Requests that failed with an error after they ran or may have run.
    pub(crate) unknown: u64,
    /// Requests whose last answer does not report whether they ran.
    pub(crate) lost: u64,
    /// Requests that got the answer of another request.
    pub(crate) mismatched: u64,
    /// Streams that lack tokens although the answer is complete and reports no error.
    pub(crate) truncated: u64,
    /// Retries of all requests.
    pub(crate) retries: u64,
    /// Duration of the last attempt of each request that is not streamed.
    pub(crate) unary_latency: DurationHistogram,
    pub(crate) first_token: DurationHistogram,
    pub(crate) token_gap: DurationHistogram,
    /// Tokens of complete streams.
    pub(crate) tokens: u64,
    /// Replies to each reservation by idempotency key.
    reservations: BTreeMap<String, Vec<CallReply>>,
}

impl LoadOutcome {
    fn new() -> Self {
        Self {
            ok: 0,
            not_run: 0,
            unknown: 0,
            lost: 0,
            mismatched: 0,
            truncated: 0,
            retries: 0,
            unary_latency: DurationHistogram::new(),
            first_token: DurationHistogram::new(),
            token_gap: DurationHistogram::new(),
            tokens: 0,
            reservations: BTreeMap::new(),
        }
    }

    /// Counts the reservations that ran more than once, and those that ran although every reply
    /// reported `not_run`.
    pub(crate) fn check_reservations(&self, history: &RunHistory) -> (u64, u64) {
        let counts = history.counts();
        let mut run_twice = 0;
        let mut falsely_not_run = 0;
        for (key, replies) in &self.reservations {
            let runs = counts.get(key).copied().unwrap_or(0);
            run_twice += u64::from(runs > 1);
            let reported_not_run = replies.iter().all(|reply| reply.ran() == "not_run");
            falsely_not_run += u64::from(reported_not_run && runs > 0);
        }
        (run_twice, falsely_not_run)
    }
}

/// Parameters of a generated load.
#[derive(Clone)]
pub(crate) struct LoadPlan {
    pub(crate) mix: LoadMix,
    pub(crate) targets: Vec<SocketAddr>,
    pub(crate) rate: f64,
    pub(crate) time: Duration,
    pub(crate) seed: u64,
}

/// Sends a load and returns its outcome once every request has finished.
pub(crate) async fn generate_load(plan: LoadPlan) -> LoadOutcome {
    let outcome = Arc::new(Mutex::new(LoadOutcome::new()));
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let started = Instant::now();
    let mut tasks = Vec::new();
    let mut due = started;
    for number in 0_u64.. {
        if started.elapsed() >= plan.time {
            break;
        }
        // The gaps are exponential, because callers send independently of each other.
        let gap = -rng.random_range(f64::EPSILON..1.0).ln() / plan.rate;
        due += Duration::from_secs_f64(gap);
        tokio::time::sleep_until(due).await;
        let draw = rng.random_range(0..1000);
        let kind = if draw < plan.mix.streams {
            CallKind::Stream
        } else if draw < plan.mix.streams + plan.mix.reads {
            CallKind::Read
        } else {
            CallKind::Reserve
        };
        let first = rng.random_range(0..plan.targets.len());
        let shared = rng.random_range(0..SHARED_PROMPTS);
        let outcome = Arc::clone(&outcome);
        let targets = plan.targets.clone();
        let key = format!("{}-{}-{number}", plan.mix.name, plan.seed);
        tasks.push(tokio::spawn(async move {
            run_call(kind, &key, shared, &targets, first, &outcome).await;
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    let outcome = Arc::try_unwrap(outcome).expect("every task has finished");
    outcome.into_inner().expect("no holder of the lock panics")
}

fn build_prompt(key: &str, shared: u32) -> String {
    let prefix = format!("site {shared} ").repeat(PROMPT_BYTES / 8);
    format!("{prefix} question {key}")
}

fn build_call(kind: CallKind, key: &str, shared: u32) -> CallerCall {
    match kind {
        CallKind::Stream => {
            let body = json!({"model": "m", "stream": true, "max_tokens": STREAM_TOKENS,
                "prompt": build_prompt(key, shared)});
            CallerCall::new(Method::POST, "/v1/completions", CALLER_KEY)
                .with_body(&body.to_string())
                .with_timeout(Duration::from_secs(20))
        }
        CallKind::Read => CallerCall::new(Method::GET, &format!("/pitches/{key}"), CALLER_KEY)
            .with_timeout(Duration::from_secs(5)),
        CallKind::Reserve => CallerCall::new(Method::POST, "/holds/7", CALLER_KEY)
            .with_header("idempotency-key", key)
            .with_timeout(Duration::from_secs(9))
            .with_body("{}"),
    }
}

/// Sends a call and retries it at other targets until it succeeds or the attempts are used up.
async fn run_call(
    kind: CallKind,
    key: &str,
    shared: u32,
    targets: &[SocketAddr],
    first: usize,
    outcome: &Mutex<LoadOutcome>,
) {
    let call = build_call(kind, key, shared);
    let mut replies = Vec::new();
    for attempt in 0..MAX_ATTEMPTS {
        let target = targets[(first + attempt as usize * 4) % targets.len()];
        let reply = call.send(target).await;
        // The framing shows the caller that an answer was truncated, so the caller retries.
        let done = reply.status == 200 && reply.complete;
        replies.push(reply);
        if done {
            break;
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let mut outcome = outcome.lock().expect("no holder of the lock panics");
    record_replies(kind, key, shared, replies, &mut outcome);
}

fn record_replies(
    kind: CallKind,
    key: &str,
    shared: u32,
    replies: Vec<CallReply>,
    outcome: &mut LoadOutcome,
) {
    let Some(last) = replies.last() else { return };
    outcome.retries += replies.len() as u64 - 1;
    if last.status == 200 && last.complete {
        classify_answer(kind, key, shared, last, outcome);
    } else {
        match last.ran().as_str() {
            "not_run" => outcome.not_run += 1,
            "unknown" | "ran" => outcome.unknown += 1,
            // No answer, or an answer that does not report whether the request ran.
            _ => outcome.lost += 1,
        }
    }
    if kind != CallKind::Stream {
        outcome.unary_latency.record(last.total);
    }
    if kind == CallKind::Reserve {
        outcome.reservations.insert(key.to_owned(), replies);
    }
}

fn classify_answer(
    kind: CallKind,
    key: &str,
    shared: u32,
    reply: &CallReply,
    outcome: &mut LoadOutcome,
) {
    let matches_request = match kind {
        CallKind::Reserve | CallKind::Read => reply.body.contains(key),
        CallKind::Stream => {
            let (tokens, done) = reply.tokens();
            let prompt = build_prompt(key, shared);
            let expected: Vec<String> =
                (0..tokens.len() as u32).map(|index| expected_token(&prompt, index)).collect();
            let complete = done && tokens.len() == STREAM_TOKENS as usize;
            let failed = reply.body.contains("\"error\"");
            if !complete && failed {
                // The stream reported an error, so the caller knows that the answer is truncated.
                outcome.unknown += 1;
                return;
            }
            if !complete {
                outcome.truncated += 1;
                return;
            }
            outcome.tokens += u64::from(STREAM_TOKENS);
            if let Some(first) = reply.first_byte {
                outcome.first_token.record(first);
            }
            for pair in reply.chunk_times.windows(2) {
                outcome.token_gap.record(pair[1] - pair[0]);
            }
            tokens == expected
        }
    };
    if !matches_request {
        outcome.mismatched += 1;
    } else {
        outcome.ok += 1;
    }
}
