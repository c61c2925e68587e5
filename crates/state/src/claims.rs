//! Which not repeatable requests were given the right to run.
//!
//! A daemon opens a claim before the first byte of such a request leaves. Only
//! the first claim of a key is ever granted, so that a resent request, through
//! whichever daemon, finds the first one's answer or that it may have run.
//!
//! Invariants: a key is granted to one attempt only, until it is released by
//! that attempt (no byte left) or forgotten after the retention time; an open
//! claim whose lifetime has passed reads as unknown and is never granted again.

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
    /// When it was opened, by the log's clock; none until the clock has next moved.
    opened_ms: Option<u64>,
}

/// State machine of the claims' log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimState {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    now_ms: u64,
}

impl ClaimState {
    /// Creates a state without claims.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The clock that the log carries, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Applies one command and returns what came of it.
    pub fn apply_command(&mut self, command: &ClaimCommand) -> ClaimOutcome {
        match command {
            ClaimCommand::Open(open) => self.open(open),
            ClaimCommand::Close(close) => self.close(close),
            ClaimCommand::Release(release) => self.release(release),
            ClaimCommand::Sweep(sweep) => self.sweep(sweep),
        }
    }

    fn open(&mut self, open: &ClaimOpen) -> ClaimOutcome {
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
        let Some(record) = self.held(&close.key, &close.attempt) else {
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
        match self.held(&release.key, &release.attempt) {
            Some(record)
                if matches!(record.phase, ClaimPhase::Open { .. } | ClaimPhase::Unknown) =>
            {
                self.records.remove(&release.key);
                ClaimOutcome::Closed
            }
            _ => ClaimOutcome::NotHeld,
        }
    }

    fn held(&mut self, key: &ClaimKey, attempt: &str) -> Option<&mut ClaimRecord> {
        self.records.get_mut(key).filter(|record| record.attempt == attempt)
    }

    fn sweep(&mut self, sweep: &ClaimSweep) -> ClaimOutcome {
        // A new leader's clock may be behind; the log's clock never goes back.
        self.now_ms = self.now_ms.max(sweep.now_ms);
        let now = self.now_ms;
        for record in self.records.values_mut() {
            // What was opened since the last sweep is dated now: the clock may have stood still
            // since then, and a claim must not be forgotten early.
            let opened = *record.opened_ms.get_or_insert(now);
            if matches!(record.phase, ClaimPhase::Open { lifetime_ms }
                if opened.saturating_add(lifetime_ms) <= now)
            {
                record.phase = ClaimPhase::Unknown;
            }
        }
        self.records.retain(|_, record| {
            matches!(record.phase, ClaimPhase::Open { .. })
                || record
                    .opened_ms
                    .is_none_or(|opened| now.saturating_sub(opened) < sweep.retain_ms)
        });
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
