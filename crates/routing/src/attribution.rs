//! Attributes the termination of an upstream to one of the contents that were in progress there.
//!
//! Many contents are in progress at an upstream when it terminates, and at most one of them crashed
//! it. The decision follows spectrum-based fault localisation: the content that covers the most
//! terminations and was never answered accounts for all of them. A content with weaker evidence is
//! quarantined only for terminations that no other accounts for.
//!
//! Two contents with equal evidence, such as two parts that always occur together, cannot be told
//! apart, and neither accounts for the other's terminations.

use std::collections::HashMap;

/// Strength of the evidence against a content. A content that was answered before is weaker than any
/// that was not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CrashEvidence {
    /// Whether no complete answer is known.
    pub(crate) unanswered: bool,
    /// Number of upstreams that terminated while they ran it.
    pub(crate) runs: usize,
}

/// The strongest evidence that accounts for the termination of each upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct TerminationCauses {
    strongest: HashMap<u64, CrashEvidence>,
}

impl TerminationCauses {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Records that a content with this evidence accounts for the termination of upstreams.
    pub(crate) fn record(&mut self, upstreams: impl Iterator<Item = u64>, evidence: CrashEvidence) {
        for upstream in upstreams {
            let strongest = self.strongest.entry(upstream).or_insert(evidence);
            *strongest = evidence.max(*strongest);
        }
    }

    /// Returns whether stronger evidence than this accounts for the termination of an upstream.
    pub(crate) fn explains(&self, upstream: u64, evidence: CrashEvidence) -> bool {
        self.strongest.get(&upstream).is_some_and(|strongest| *strongest > evidence)
    }
}
