//! Tests of which parts of prompts are quarantined because upstreams crash under requests with them.

use std::time::Duration;

use hollowbarrow_routing::{
    AnswerProof, ContentStanding, CrashTracker, RequestContents, TerminatedRun, digest_part,
};
use hollowbarrow_schema::ContentDigest;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

const MODEL: &str = "m";
const GUILTY: &str = "guilty";
const SHARED: &str = "shared";
const ORGANISATION: &str = "family";

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Returns the contents of a request with these parts, of which the last is its own.
fn request(number: u64, organisation: &str, parts: &[&str]) -> RequestContents {
    let own = format!("own {number}");
    let parts = parts.iter().copied().chain([own.as_str()]).map(str::as_bytes);
    let parts: Vec<&[u8]> = parts.collect();
    RequestContents::new(ContentDigest(number))
        .with_organisation(organisation)
        .with_parts(MODEL, parts.into_iter())
}

fn part(name: &str) -> ContentDigest {
    digest_part(MODEL, name.as_bytes())
}

/// A tracker, and the time of the next event.
struct Trial {
    tracker: CrashTracker,
    now: Instant,
    number: u64,
}

impl Trial {
    fn new() -> Self {
        Self { tracker: CrashTracker::new(), now: Instant::now(), number: 0 }
    }

    fn next(&mut self, organisation: &str, parts: &[&str]) -> RequestContents {
        self.number += 1;
        request(self.number, organisation, parts)
    }

    /// Sends a request that crashes its upstream 100 ms later.
    fn crash(&mut self, organisation: &str, parts: &[&str]) {
        let contents = self.next(organisation, parts);
        let sent = self.now;
        self.now += ms(100);
        self.interrupt(&contents, sent, self.number);
    }

    /// Records that an upstream terminated now while it ran a request.
    fn interrupt(&mut self, contents: &RequestContents, sent: Instant, upstream: u64) {
        let organisation = Some(contents.organisation());
        let run = TerminatedRun { upstream, sent, ended: self.now, organisation };
        self.tracker.record_run(contents, run);
    }

    /// Sends a request that is answered 100 ms later.
    fn answer(&mut self, parts: &[&str], proof: AnswerProof) {
        let contents = self.next(ORGANISATION, parts);
        self.now += ms(100);
        self.tracker.record_answer(&contents, proof, self.now);
    }

    fn is_quarantined(&self, name: &str, organisation: &str) -> bool {
        let organisation = RequestContents::new(ContentDigest(0)).with_organisation(organisation);
        let state =
            self.tracker.quarantine_state(part(name), organisation.organisation(), self.now);
        state.is_some()
    }
}

/// Requests are recognised by the part that they share, wherever it stands but at the end.
#[rstest]
#[case::first(&[GUILTY], true)]
#[case::first_of_many(&[GUILTY, SHARED], true)]
#[case::middle(&[SHARED, GUILTY], true)]
#[case::other(&[SHARED], false)]
fn part_quarantined_at_position(#[case] parts: &[&str], #[case] expected: bool) {
    let mut trial = Trial::new();
    trial.answer(&[SHARED], AnswerProof::Success);
    for _ in 0..3 {
        trial.crash(ORGANISATION, parts);
    }
    assert_eq!(trial.is_quarantined(GUILTY, ORGANISATION), expected);
    assert!(!trial.is_quarantined(SHARED, ORGANISATION), "it was answered before");
}

/// The last part is the request's own.
#[rstest]
fn contents_exclude_last_part() {
    let contents = request(1, ORGANISATION, &[SHARED, GUILTY, SHARED]);
    assert_eq!(contents.parts(), [part(SHARED), part(GUILTY)]);
    assert!(request(1, ORGANISATION, &[]).parts().is_empty());
}

/// A part of one model's prompts says nothing about another model.
#[rstest]
fn part_digest_per_model() {
    assert_ne!(digest_part("m", b"a"), digest_part("n", b"a"));
    assert_ne!(digest_part("m", b"a"), digest_part("m", b"b"));
}

/// A shared part is not quarantined although no answer separates it from the guilty one at this
/// daemon, once the guilty one has crashed upstreams beside other parts too.
#[rstest]
fn termination_attributed_to_strongest_evidence() {
    let mut trial = Trial::new();
    for number in 0..3 {
        trial.crash(ORGANISATION, &[SHARED, GUILTY]);
        trial.crash(ORGANISATION, &[&format!("other {number}"), GUILTY]);
    }
    assert!(trial.is_quarantined(GUILTY, ORGANISATION));
    assert!(!trial.is_quarantined(SHARED, ORGANISATION));
}

/// Two parts that always occur together cannot be told apart before one of them is answered alone.
#[rstest]
fn parts_together_until_one_is_answered() {
    let mut trial = Trial::new();
    for _ in 0..3 {
        trial.crash(ORGANISATION, &[SHARED, GUILTY]);
    }
    assert!(trial.is_quarantined(SHARED, ORGANISATION));
    assert!(trial.is_quarantined(GUILTY, ORGANISATION));
    trial.answer(&[SHARED], AnswerProof::Success);
    assert!(!trial.is_quarantined(SHARED, ORGANISATION));
    assert!(trial.is_quarantined(GUILTY, ORGANISATION));
}

#[rstest]
fn two_guilty_parts_quarantined() {
    let mut trial = Trial::new();
    trial.answer(&[SHARED], AnswerProof::Success);
    for _ in 0..3 {
        trial.crash(ORGANISATION, &[SHARED, GUILTY]);
        trial.crash(ORGANISATION, &[SHARED, "guilty too"]);
    }
    assert!(trial.is_quarantined(GUILTY, ORGANISATION));
    assert!(trial.is_quarantined("guilty too", ORGANISATION));
    assert!(!trial.is_quarantined(SHARED, ORGANISATION));
}

/// A part that was answered until the program changed is quarantined too, beside one that is still
/// answered.
#[rstest]
fn part_answered_before_quarantined() {
    let mut trial = Trial::new();
    trial.answer(&[SHARED, GUILTY], AnswerProof::Success);
    for _ in 0..6 {
        trial.crash(ORGANISATION, &[SHARED, GUILTY]);
        trial.answer(&[SHARED], AnswerProof::Success);
    }
    assert!(trial.is_quarantined(GUILTY, ORGANISATION));
    assert!(!trial.is_quarantined(SHARED, ORGANISATION));
}

/// Guards against an organisation that denies a part to another one by crashing upstreams.
#[rstest]
fn organisation_cannot_deny_part_to_others() {
    let mut trial = Trial::new();
    for _ in 0..8 {
        trial.crash("desk", &[GUILTY]);
    }
    assert!(trial.is_quarantined(GUILTY, "desk"));
    assert!(!trial.is_quarantined(GUILTY, ORGANISATION));
    trial.crash(ORGANISATION, &[GUILTY]);
    assert!(trial.is_quarantined(GUILTY, ORGANISATION), "two organisations send it");
    assert!(trial.is_quarantined(GUILTY, "a third"));
}

/// An answer by which an upstream rejects a request shows nothing about its parts.
#[rstest]
#[case::success(AnswerProof::Success, false)]
#[case::rejection(AnswerProof::Rejection, true)]
fn quarantine_after_answer(#[case] proof: AnswerProof, #[case] expected: bool) {
    let mut trial = Trial::new();
    for _ in 0..3 {
        trial.crash(ORGANISATION, &[GUILTY]);
    }
    trial.answer(&[GUILTY], proof);
    assert_eq!(trial.is_quarantined(GUILTY, ORGANISATION), expected);
}

#[rstest]
fn standing_of_parts() {
    let mut trial = Trial::new();
    assert_eq!(trial.tracker.standing(part(GUILTY)), ContentStanding::Unknown);
    trial.answer(&[SHARED], AnswerProof::Success);
    trial.crash(ORGANISATION, &[SHARED, GUILTY]);
    assert_eq!(trial.tracker.standing(part(GUILTY)), ContentStanding::Unknown, "one is often lost");
    trial.crash(ORGANISATION, &[SHARED, GUILTY]);
    assert_eq!(trial.tracker.standing(part(GUILTY)), ContentStanding::Suspected);
    assert_eq!(trial.tracker.standing(part(SHARED)), ContentStanding::Answered);
}

/// The memory for answers is bounded, and parts that are answered again and again are kept.
#[rstest]
fn frequent_parts_remembered_beside_new_ones() {
    let mut trial = Trial::new();
    trial.answer(&[SHARED], AnswerProof::Success);
    for number in 0..20_000 {
        trial.answer(&[&format!("new {number}")], AnswerProof::Success);
        if number % 1000 == 0 {
            trial.answer(&[SHARED], AnswerProof::Success);
        }
    }
    assert_eq!(trial.tracker.standing(part(SHARED)), ContentStanding::Answered);
    assert_eq!(trial.tracker.standing(part("new 0")), ContentStanding::Unknown);
}

/// Upstreams of the simulated service, and requests with its parts a second.
const UPSTREAMS: u64 = 12;
const SOUND_RATE: f64 = 40.0;
/// Time that a sound request runs, in milliseconds.
const RUN_MS: (f64, f64) = (300.0, 2000.0);
/// First parts of prompts, and parts that only few sound requests have.
const FIRST_PARTS: u64 = 12;
const RARE_PARTS: u64 = 400;
/// Length of a draw and number of draws, and the share of them in which a sound part may be refused.
const DRAW_MS: f64 = 30_000.0;
const DRAWS: u64 = 200;

/// What crashes upstreams in a draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crashes {
    /// Requests with a part, five a second, at the rate of the recorded incident.
    Part,
    /// Single upstreams, for other reasons, one a second.
    Singles,
    /// Three upstreams at once, every three seconds.
    Racks,
}

/// Draws the load of one daemon that sees all requests. Returns the share of the sound requests that
/// are refused, and the number of requests with the guilty part that were sent.
fn draw(crashes: Crashes, rng: &mut impl Rng) -> (f64, usize) {
    let mut trial = Trial::new();
    let start = trial.now;
    let (mut sound, mut refused, mut guilty) = (0u32, 0u32, 0usize);
    let mut in_progress: Vec<(RequestContents, u64, f64, f64)> = Vec::new();
    let mut upstream_life: Vec<u64> = (0..UPSTREAMS).collect();
    let (mut next_sound, mut next_crash) = (0.0, 5000.0);
    while next_sound < DRAW_MS {
        let crash_due = next_crash < next_sound;
        let at = if crash_due { next_crash } else { next_sound };
        trial.now = start + Duration::from_secs_f64(at / 1000.0);
        for done in in_progress.extract_if(.., |(.., done)| *done <= at) {
            trial.tracker.record_answer(&done.0, AnswerProof::Success, trial.now);
        }
        if !crash_due {
            next_sound += rng.random_range(0.0..2000.0 / SOUND_RATE);
            sound += 1;
            let first = format!("first {}", rng.random_range(0..FIRST_PARTS));
            let rare = format!("rare {}", rng.random_range(0..RARE_PARTS));
            let contents = trial.next(ORGANISATION, &[&first, &rare]);
            if is_refused(&trial, &contents) {
                refused += 1;
                continue;
            }
            let slot = rng.random_range(0..UPSTREAMS);
            let done = at + rng.random_range(RUN_MS.0..RUN_MS.1);
            in_progress.push((contents, slot, at, done));
            continue;
        }
        let ended: Vec<u64> = match crashes {
            Crashes::Part => {
                next_crash += 200.0;
                let first = format!("first {}", rng.random_range(0..FIRST_PARTS));
                let contents = trial.next(ORGANISATION, &[&first, GUILTY]);
                if is_refused(&trial, &contents) {
                    continue;
                }
                guilty += 1;
                let slot = rng.random_range(0..UPSTREAMS);
                in_progress.push((contents, slot, at - 90.0, f64::INFINITY));
                vec![slot]
            }
            Crashes::Singles => {
                next_crash += 1000.0;
                vec![rng.random_range(0..UPSTREAMS)]
            }
            Crashes::Racks => {
                next_crash += 3000.0;
                let first = rng.random_range(0..UPSTREAMS / 3) * 3;
                (first..first + 3).collect()
            }
        };
        for slot in ended {
            let life = upstream_life[slot as usize];
            upstream_life[slot as usize] += UPSTREAMS;
            let lost: Vec<_> =
                in_progress.extract_if(.., |(_, running, ..)| *running == slot).collect();
            for (contents, _, sent, _) in lost {
                let sent = start + Duration::from_secs_f64(sent / 1000.0);
                trial.interrupt(&contents, sent, life);
            }
        }
    }
    (f64::from(refused) / f64::from(sound), guilty)
}

fn is_refused(trial: &Trial, contents: &RequestContents) -> bool {
    contents.all().any(|content| {
        let organisation = contents.organisation();
        trial.tracker.quarantine_state(content, organisation, trial.now).is_some()
    })
}

/// Sound requests share their caller, their first parts and rare parts with each other, and are
/// interrupted by the dozen: hardly any is refused, whatever crashes the upstreams.
#[rstest]
#[case::part(Crashes::Part)]
#[case::singles(Crashes::Singles)]
#[case::racks(Crashes::Racks)]
fn sound_requests_not_refused(#[case] crashes: Crashes) {
    let mut rng = ChaCha8Rng::seed_from_u64(52);
    let (mut refused, mut worst, mut guilty) = (0.0, 0.0_f64, 0);
    for _ in 0..DRAWS {
        let (share, sent) = draw(crashes, &mut rng);
        refused += share / DRAWS as f64;
        worst = worst.max(share);
        guilty = guilty.max(sent);
    }
    println!(
        "{crashes:?}: {refused:.5} of sound requests refused, {worst:.4} in the worst draw, {guilty} guilty sent"
    );
    assert!(refused < 0.002, "{refused} of the sound requests are refused");
    assert!(worst < 0.1, "{worst} of the sound requests of a draw are refused");
    assert!(guilty <= 5, "{guilty} requests with the guilty part are sent");
}
