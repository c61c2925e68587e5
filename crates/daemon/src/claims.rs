//! Opens and closes claims of non-repeatable requests.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_routing::{ClaimWaitFacts, claim_wait};
use hollowbarrow_schema::{
    ClaimClose, ClaimCommand, ClaimKey, ClaimOpen, ClaimOutcome, ClaimRelease, ClaimSweep,
    EntryPayload, LogName, OrganisationId, ProposalOutcome, StoredAnswer,
};
use sha2::{Digest, Sha256};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::core::{DaemonCore, wall_ms};
use crate::proposals::ProposeEntryError;

/// Timeout for recording an outcome in the log in the background.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout after which a caller's answer no longer waits for its outcome to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the deadline until an unfinished claim is treated as having an unknown outcome.
const CLAIM_GRACE: Duration = Duration::from_secs(5);
/// Bytes of the digest that identifies a claim; 128 bits make collisions negligible.
const KEY_BYTES: usize = 16;
/// Pause between two sweeps of the claims.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A claim that this daemon has opened.
#[derive(Clone, Debug)]
pub(crate) struct HeldClaim {
    key: ClaimKey,
    attempt: String,
}

/// Identity of a non-repeatable request.
#[derive(Clone, Debug)]
pub(crate) struct ClaimIdentity {
    pub(crate) key: ClaimKey,
    pub(crate) fingerprint: u64,
}

impl ClaimIdentity {
    /// Hashes organisation and key into the claim's key, and target and body into its fingerprint.
    pub(crate) fn new(organisation: &OrganisationId, key: &str, target: &str, body: &[u8]) -> Self {
        let mut digest = Sha256::new();
        digest.update((organisation.len() as u64).to_le_bytes());
        digest.update(organisation.as_bytes());
        digest.update(key.as_bytes());
        let digest = digest.finalize();
        let key = digest[..KEY_BYTES].iter().map(|byte| format!("{byte:02x}")).collect();
        let seed = xxhash_rust::xxh3::xxh3_64(target.as_bytes());
        let fingerprint = xxhash_rust::xxh3::xxh3_64_with_seed(body, seed);
        Self { key: ClaimKey(key), fingerprint }
    }
}

impl DaemonCore {
    async fn propose_claim(
        &self,
        command: ClaimCommand,
        deadline: Instant,
    ) -> Result<ClaimOutcome, ProposeEntryError> {
        match self.propose(LogName::Claims, EntryPayload::Claim(command), deadline).await? {
            ProposalOutcome::Claim(outcome) => Ok(outcome),
            _ => Err(ProposeEntryError::Unknown),
        }
    }

    /// Opens a claim, which grants the exclusive right to run a request.
    ///
    /// # Errors
    ///
    /// Fails if no outcome arrives. The request must not be run then; a claim that
    /// may have been granted is released in the background.
    pub(crate) async fn open_claim(
        self: &Arc<Self>,
        identity: &ClaimIdentity,
        attempt: &str,
        deadline: Instant,
    ) -> Result<(ClaimOutcome, HeldClaim), ProposeEntryError> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let lifetime = u64::try_from((remaining + CLAIM_GRACE).as_millis()).unwrap_or(u64::MAX);
        let held = HeldClaim { key: identity.key.clone(), attempt: attempt.to_owned() };
        let open = ClaimOpen {
            key: identity.key.clone(),
            fingerprint: identity.fingerprint,
            attempt: attempt.to_owned(),
            lifetime_ms: lifetime,
        };
        let now = Instant::now();
        let facts = ClaimWaitFacts {
            remaining,
            is_leader_confirmed: self.is_config_current(now),
            voters: self.voters_by_contact(now),
        };
        let wait = now + claim_wait(&facts);
        match self.propose_claim(ClaimCommand::Open(open), wait).await {
            Ok(outcome) => Ok((outcome, held)),
            Err(error) => {
                self.start_release(held);
                Err(error)
            }
        }
    }

    /// Releases a claim of a request that was not run; after `RECORD_TIMEOUT` that continues in the
    /// background.
    ///
    /// The caller is answered afterwards: a resent request would otherwise find the claim in progress.
    pub(crate) async fn release_claim(self: &Arc<Self>, held: HeldClaim) {
        let _ = tokio::time::timeout(RECORD_TIMEOUT, self.start_release(held)).await;
    }

    /// Starts the release of a claim in the background.
    fn start_release(self: &Arc<Self>, held: HeldClaim) -> JoinHandle<()> {
        let release = ClaimRelease { key: held.key, attempt: held.attempt };
        let core = Arc::clone(self);
        tokio::spawn(async move {
            let deadline = Instant::now() + CLOSE_TIMEOUT;
            let _ = core.propose_claim(ClaimCommand::Release(release), deadline).await;
        })
    }

    /// Records the outcome of a claim; after `RECORD_TIMEOUT` that continues in the background.
    pub(crate) async fn close_claim(
        self: &Arc<Self>,
        held: HeldClaim,
        answer: Option<StoredAnswer>,
        ran: bool,
    ) {
        let kept = self.settings.limits.kept_answer_bytes;
        let answer = answer.filter(|answer| answer.body.len() as u64 <= kept);
        let close = ClaimClose { key: held.key, attempt: held.attempt, answer, ran };
        let core = Arc::clone(self);
        let recording = tokio::spawn(async move {
            let deadline = Instant::now() + CLOSE_TIMEOUT;
            core.propose_claim(ClaimCommand::Close(close), deadline).await
        });
        let _ = tokio::time::timeout(RECORD_TIMEOUT, recording).await;
    }
}

/// Appends the wall clock to the claims log, which expires claims, while this daemon leads it.
pub(crate) async fn sweep_claims(core: Arc<DaemonCore>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let idle = core.claims_log.read(hollowbarrow_state::ClaimState::is_empty);
        if !core.claims_log.view().leads || idle {
            continue;
        }
        let retain_ms = core.settings.limits.claim_retain_ms;
        let sweep = ClaimSweep { now_ms: wall_ms(), retain_ms };
        let deadline = Instant::now() + SWEEP_INTERVAL;
        let _ = core.propose_claim(ClaimCommand::Sweep(sweep), deadline).await;
    }
}
