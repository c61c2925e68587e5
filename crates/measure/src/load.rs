//! A mix of requests like the users', and what became of each.

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

use crate::stats::TimeSeries;

/// Tokens of a streamed answer.
const STREAM_TOKENS: u32 = 40;
/// Most tries of a request whose answer is not final.
const MAX_TRIES: u32 = 6;
/// Distinct long prompts that families share, so that prefixes repeat.
const SHARED_PROMPTS: u32 = 24;
/// Bytes of a shared prompt.
const PROMPT_BYTES: usize = 1500;

/// Shares of the kinds of requests, in thousandths.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadMix {
    pub(crate) name: &'static str,
    pub(crate) streams: u32,
    pub(crate) reads: u32,
    pub(crate) holds: u32,
}

/// Tábortűz: drafts and answers stream, pitches are looked up, some are held.
pub(crate) const TABORTTUZ: LoadMix =
    LoadMix { name: "taborttuz", streams: 450, reads: 400, holds: 150 };
/// The Settlement Desk: dispute letters run once, records are looked up by the batch.
pub(crate) const SETTLEMENT_DESK: LoadMix =
    LoadMix { name: "settlement_desk", streams: 250, reads: 500, holds: 250 };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Stream,
    Read,
    Hold,
}

/// What callers were told, over a whole run.
#[derive(Debug)]
pub(crate) struct LoadOutcome {
    pub(crate) ok: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) lost: u64,
    pub(crate) crossed: u64,
    pub(crate) short: u64,
    pub(crate) resent: u64,
    pub(crate) urgent: TimeSeries,
    pub(crate) first_token: TimeSeries,
    pub(crate) token_gap: TimeSeries,
    pub(crate) tokens: u64,
    holds: BTreeMap<String, Vec<CallReply>>,
}

impl LoadOutcome {
    fn new() -> Self {
        Self {
            ok: 0,
            not_run: 0,
            unknown: 0,
            lost: 0,
            crossed: 0,
            short: 0,
            resent: 0,
            urgent: TimeSeries::new(),
            first_token: TimeSeries::new(),
            token_gap: TimeSeries::new(),
            tokens: 0,
            holds: BTreeMap::new(),
        }
    }

    /// Holds that ran twice, and holds that ran although callers were only told otherwise.
    pub(crate) fn check_holds(&self, history: &RunHistory) -> (u64, u64) {
        let counts = history.counts();
        let mut doubled = 0;
        let mut false_not_run = 0;
        for (key, replies) in &self.holds {
            let runs = counts.get(key).copied().unwrap_or(0);
            doubled += u64::from(runs > 1);
            let denied = replies.iter().all(|reply| reply.ran() == "not_run");
            false_not_run += u64::from(denied && runs > 0);
        }
        (doubled, false_not_run)
    }
}

/// How a load is driven.
#[derive(Clone)]
pub(crate) struct LoadPlan {
    pub(crate) mix: LoadMix,
    pub(crate) doors: Vec<SocketAddr>,
    pub(crate) rate: f64,
    pub(crate) time: Duration,
    pub(crate) seed: u64,
}

/// Drives a load and returns what became of it, once every request has ended.
pub(crate) async fn drive(plan: LoadPlan) -> LoadOutcome {
    let outcome = Arc::new(Mutex::new(LoadOutcome::new()));
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let begun = Instant::now();
    let mut tasks = Vec::new();
    let mut due = begun;
    for number in 0_u64.. {
        if begun.elapsed() >= plan.time {
            break;
        }
        // Arrivals are independent of each other, as callers' are.
        let gap = -rng.random_range(f64::EPSILON..1.0).ln() / plan.rate;
        due += Duration::from_secs_f64(gap);
        tokio::time::sleep_until(due).await;
        let drawn = rng.random_range(0..1000);
        let kind = if drawn < plan.mix.streams {
            CallKind::Stream
        } else if drawn < plan.mix.streams + plan.mix.reads {
            CallKind::Read
        } else {
            CallKind::Hold
        };
        let first = rng.random_range(0..plan.doors.len());
        let shared = rng.random_range(0..SHARED_PROMPTS);
        let outcome = Arc::clone(&outcome);
        let doors = plan.doors.clone();
        let key = format!("{}-{}-{number}", plan.mix.name, plan.seed);
        tasks.push(tokio::spawn(async move {
            run_call(kind, &key, shared, &doors, first, &outcome).await;
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    let outcome = Arc::try_unwrap(outcome).expect("every task has ended");
    outcome.into_inner().expect("no holder of the lock panics")
}

fn prompt_of(key: &str, shared: u32) -> String {
    let opening = format!("site {shared} ").repeat(PROMPT_BYTES / 8);
    format!("{opening} question {key}")
}

fn make_call(kind: CallKind, key: &str, shared: u32) -> CallerCall {
    match kind {
        CallKind::Stream => {
            let body = json!({"model": "m", "stream": true, "max_tokens": STREAM_TOKENS,
                "prompt": prompt_of(key, shared)});
            CallerCall::new(Method::POST, "/v1/completions", CALLER_KEY)
                .with_body(&body.to_string())
                .with_timeout(Duration::from_secs(20))
        }
        CallKind::Read => CallerCall::new(Method::GET, &format!("/pitches/{key}"), CALLER_KEY)
            .with_timeout(Duration::from_secs(5)),
        CallKind::Hold => CallerCall::new(Method::POST, "/holds/7", CALLER_KEY)
            .with_header("idempotency-key", key)
            .with_timeout(Duration::from_secs(9))
            .with_body("{}"),
    }
}

/// Makes a call, and makes it again through another door as a careful caller would.
async fn run_call(
    kind: CallKind,
    key: &str,
    shared: u32,
    doors: &[SocketAddr],
    first: usize,
    outcome: &Mutex<LoadOutcome>,
) {
    let call = make_call(kind, key, shared);
    let mut replies = Vec::new();
    for attempt in 0..MAX_TRIES {
        let door = doors[(first + attempt as usize * 4) % doors.len()];
        let reply = call.send(door).await;
        // A caller sees from the framing that an answer was cut off, and asks again.
        let done = reply.status == 200 && reply.complete;
        replies.push(reply);
        if done {
            break;
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let mut outcome = outcome.lock().expect("no holder of the lock panics");
    note_replies(kind, key, shared, replies, &mut outcome);
}

fn note_replies(
    kind: CallKind,
    key: &str,
    shared: u32,
    replies: Vec<CallReply>,
    outcome: &mut LoadOutcome,
) {
    let Some(last) = replies.last() else { return };
    outcome.resent += replies.len() as u64 - 1;
    if last.status == 200 && last.complete {
        judge_answer(kind, key, shared, last, outcome);
    } else {
        match last.ran().as_str() {
            "not_run" => outcome.not_run += 1,
            "unknown" | "ran" => outcome.unknown += 1,
            // No answer at all, although a door had taken the connection.
            _ => outcome.lost += 1,
        }
    }
    if kind != CallKind::Stream {
        outcome.urgent.note(last.total);
    }
    if kind == CallKind::Hold {
        outcome.holds.insert(key.to_owned(), replies);
    }
}

fn judge_answer(
    kind: CallKind,
    key: &str,
    shared: u32,
    reply: &CallReply,
    outcome: &mut LoadOutcome,
) {
    let own = match kind {
        CallKind::Hold | CallKind::Read => reply.body.contains(key),
        CallKind::Stream => {
            let (tokens, done) = reply.tokens();
            let prompt = prompt_of(key, shared);
            let expected: Vec<String> =
                (0..tokens.len() as u32).map(|index| expected_token(&prompt, index)).collect();
            let whole = done && tokens.len() == STREAM_TOKENS as usize;
            let failed = reply.body.contains("\"error\"");
            if !whole && failed {
                // The caller was told that its answer broke off.
                outcome.unknown += 1;
                return;
            }
            if !whole {
                outcome.short += 1;
                return;
            }
            outcome.tokens += u64::from(STREAM_TOKENS);
            if let Some(first) = reply.first_byte {
                outcome.first_token.note(first);
            }
            for pair in reply.chunk_times.windows(2) {
                outcome.token_gap.note(pair[1] - pair[0]);
            }
            tokens == expected
        }
    };
    if !own {
        outcome.crossed += 1;
    } else {
        outcome.ok += 1;
    }
}
