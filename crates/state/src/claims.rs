//! Claims: the right of non-repeatable requests to run.
//!
//! A daemon opens a claim before it sends the first byte of a non-repeatable
//! request. Only the first claim of a key is granted. A request that is sent
//! again, through any daemon, therefore gets the answer of the first one, or
//! the information that the first one is in progress or may have run.
//!
//! Invariants: a key is granted to one attempt only, until that attempt
//! releases it (no byte was sent) or it is removed after the retention time; an
//! open claim whose lifetime has passed becomes unknown and is never granted
//! again; an attempt that has released its claim is not granted it again within
//! the retention time, also if its request to open arrives after the release.

use std::collections::BTreeMap;

use hollowbarrow_log::StateMachine;
use hollowbarrow_schema::{
    ClaimClose, ClaimCommand, ClaimKey, ClaimOpen, ClaimOutcome, ClaimRelease, ClaimSweep,
    EntryPayload, LogEntry, ProposalOutcome, StoredAnswer,
};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimPhase {
    Open { lifetime_ms: u64 },
    Unknown,
    Ran,
    Answered(Box<StoredAnswer>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    fingerprint: u64,
    attempt: String,
    phase: ClaimPhase,
    /// Time at which the claim was opened, by the log's clock; none until the next sweep.
    opened_ms: Option<u64>,
}

/// State machine of the log of claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimState {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    /// Attempts that have released a claim, with the time of the release by the log's clock; none
    /// until the next sweep.
    #[serde(default)]
    released: BTreeMap<(ClaimKey, String), Option<u64>>,
    now_ms: u64,
}

impl ClaimState {
    /// Creates a state without claims.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of keys with a claim.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is nothing that a sweep could remove.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.released.is_empty()
    }

    /// Returns the time of the log's clock in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Applies one command and returns its outcome.
    pub fn apply_command(&mut self, command: &ClaimCommand) -> ClaimOutcome {
        match command {
            ClaimCommand::Open(open) => self.open(open),
            ClaimCommand::Close(close) => self.close(close),
            ClaimCommand::Release(release) => self.release(release),
            ClaimCommand::Sweep(sweep) => self.sweep(sweep),
        }
    }

    fn open(&mut self, open: &ClaimOpen) -> ClaimOutcome {
        if self.released.contains_key(&(open.key.clone(), open.attempt.clone())) {
            return ClaimOutcome::NotHeld;
        }
        let Some(record) = self.records.get(&open.key) else {
            let record = ClaimRecord {
                fingerprint: open.fingerprint,
                attempt: open.attempt.clone(),
                phase: ClaimPhase::Open { lifetime_ms: open.lifetime_ms },
                opened_ms: None,
            };
            self.records.insert(open.key.clone(), record);
            return ClaimOutcome::Granted;
        };
        if record.fingerprint != open.fingerprint {
            return ClaimOutcome::Mismatch;
        }
        match &record.phase {
            ClaimPhase::Open { .. } if record.attempt == open.attempt => ClaimOutcome::Granted,
            ClaimPhase::Open { .. } => ClaimOutcome::InProgress,
            ClaimPhase::Unknown => ClaimOutcome::Unknown,
            ClaimPhase::Ran => ClaimOutcome::Ran,
            ClaimPhase::Answered(answer) => ClaimOutcome::Answered((**answer).clone()),
        }
    }

    fn close(&mut self, close: &ClaimClose) -> ClaimOutcome {
        let Some(record) = self.record_of_attempt(&close.key, &close.attempt) else {
            return ClaimOutcome::NotHeld;
        };
        let settled = matches!(record.phase, ClaimPhase::Ran | ClaimPhase::Answered(_));
        if !settled {
            record.phase = match &close.answer {
                Some(answer) => ClaimPhase::Answered(Box::new(answer.clone())),
                None if close.ran => ClaimPhase::Ran,
                None => ClaimPhase::Unknown,
            };
        }
        ClaimOutcome::Closed
    }

    fn release(&mut self, release: &ClaimRelease) -> ClaimOutcome {
        self.released.entry((release.key.clone(), release.attempt.clone())).or_default();
        match self.record_of_attempt(&release.key, &release.attempt) {
            Some(record)
                if matches!(record.phase, ClaimPhase::Open { .. } | ClaimPhase::Unknown) =>
            {
                self.records.remove(&release.key);
                ClaimOutcome::Closed
            }
            _ => ClaimOutcome::NotHeld,
        }
    }

    fn record_of_attempt(&mut self, key: &ClaimKey, attempt: &str) -> Option<&mut ClaimRecord> {
        self.records.get_mut(key).filter(|record| record.attempt == attempt)
    }

    fn sweep(&mut self, sweep: &ClaimSweep) -> ClaimOutcome {
        // A new leader's clock may be behind; the log's clock never runs backwards.
        self.now_ms = self.now_ms.max(sweep.now_ms);
        let now = self.now_ms;
        for record in self.records.values_mut() {
            // Claims opened since the last sweep are dated to this one: the log's clock does not
            // advance between sweeps, and a claim must not be removed early.
            let opened = *record.opened_ms.get_or_insert(now);
            if matches!(record.phase, ClaimPhase::Open { lifetime_ms }
                if opened.saturating_add(lifetime_ms) <= now)
            {
                record.phase = ClaimPhase::Unknown;
            }
        }
        let retained = |since: Option<u64>| {
            since.is_none_or(|since| now.saturating_sub(since) < sweep.retain_ms)
        };
        self.records.retain(|_, record| {
            matches!(record.phase, ClaimPhase::Open { .. }) || retained(record.opened_ms)
        });
        self.released.values_mut().for_each(|at| *at = at.or(Some(now)));
        self.released.retain(|_, at| retained(*at));
        ClaimOutcome::Closed
    }
}

impl StateMachine for ClaimState {
    fn apply(&mut self, entry: &LogEntry) -> ProposalOutcome {
        match &entry.payload {
            EntryPayload::Claim(command) => ProposalOutcome::Claim(self.apply_command(command)),
            _ => ProposalOutcome::Lost,
        }
    }

    fn to_snapshot(&self) -> Vec<u8> {
        crate::to_cbor(self)
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        crate::restore_cbor(self, snapshot)
    }
}
