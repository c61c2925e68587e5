//! Tracks which upstream is expected to have cached which prompt prefix.
//!
//! The table learns from the requests that this daemon sends and from the upstreams' cache events.
//! Events can be late or lost: after a gap in the sequence numbers all entries of that upstream are
//! uncertain, so they are dropped and learnt again.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::picker::UpstreamKey;

/// Bytes of the prompt in one hashed block.
const BLOCK_BYTES: usize = 256;
/// Maximum number of blocks hashed of one prompt.
const MAX_BLOCKS: usize = 64;

/// Hashes the leading blocks of a prompt, each together with all blocks before it.
pub fn hash_prefix(model: &str, prompt: &str) -> Vec<u64> {
    let mut seed = xxh3_64_with_seed(model.as_bytes(), 0);
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}

/// Bounded table of prefixes and the upstreams that have cached them.
#[derive(Debug)]
pub struct PrefixTable {
    holders: HashMap<u64, UpstreamKey>,
    order: VecDeque<u64>,
    capacity: usize,
    sequences: HashMap<UpstreamKey, u64>,
}

impl PrefixTable {
    /// Creates a table that keeps at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            holders: HashMap::new(),
            order: VecDeque::new(),
            capacity,
            sequences: HashMap::new(),
        }
    }

    /// Returns the number of blocks in the table.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the upstream that has cached the longest known prefix, and the number of blocks of
    /// that prefix.
    pub fn longest(&self, blocks: &[u64]) -> Option<(&UpstreamKey, usize)> {
        blocks
            .iter()
            .enumerate()
            .rev()
            .find_map(|(position, block)| Some((self.holders.get(block)?, position + 1)))
    }

    /// Records that an upstream has computed these blocks.
    pub fn learn(&mut self, blocks: &[u64], holder: &UpstreamKey) {
        for block in blocks {
            if self.holders.insert(*block, holder.clone()).is_none() {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Applies a cache event that removes blocks; returns false after a gap in the sequence
    /// numbers.
    pub fn apply_removal(&mut self, holder: &UpstreamKey, sequence: u64, blocks: &[u64]) -> bool {
        let last = self.sequences.insert(holder.clone(), sequence);
        if last.is_some_and(|last| last + 1 != sequence) {
            self.forget_upstream(holder);
            return false;
        }
        for block in blocks {
            if self.holders.get(block) == Some(holder) {
                self.holders.remove(block);
            }
        }
        self.order.retain(|block| self.holders.contains_key(block));
        true
    }

    /// Drops all entries of an upstream.
    pub fn forget_upstream(&mut self, holder: &UpstreamKey) {
        self.holders.retain(|_, known| known != holder);
        self.order.retain(|block| self.holders.contains_key(block));
    }
}
