//! Which upstream holds which prompt prefix in its cache, as far as known.
//!
//! The table learns from what this daemon sent and from upstreams' cache
//! events. Events come late and with gaps: a gap makes everything believed of
//! that upstream doubtful, so it is dropped and learnt anew.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::picker::UpstreamKey;

/// Bytes of prompt in one hashed block.
const BLOCK_BYTES: usize = 256;
/// Most blocks hashed of one prompt.
const MAX_BLOCKS: usize = 64;

/// Hashes a prompt's leading blocks, each together with all before it.
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

/// Bounded memory of prefixes and the upstreams that hold them.
#[derive(Debug)]
pub struct PrefixTable {
    holders: HashMap<u64, UpstreamKey>,
    order: VecDeque<u64>,
    capacity: usize,
    sequences: HashMap<UpstreamKey, u64>,
}

impl PrefixTable {
    /// Creates a table that remembers at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            holders: HashMap::new(),
            order: VecDeque::new(),
            capacity,
            sequences: HashMap::new(),
        }
    }

    /// Blocks remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Upstream that holds the longest known prefix, and how many blocks that is.
    pub fn longest(&self, blocks: &[u64]) -> Option<(&UpstreamKey, usize)> {
        blocks
            .iter()
            .enumerate()
            .rev()
            .find_map(|(position, block)| Some((self.holders.get(block)?, position + 1)))
    }

    /// Notes that an upstream has now computed these blocks.
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

    /// Takes a cache event that removes blocks; returns false at a gap in the numbers.
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

    /// Drops everything believed of an upstream.
    pub fn forget_upstream(&mut self, holder: &UpstreamKey) {
        self.holders.retain(|_, known| known != holder);
        self.order.retain(|block| self.holders.contains_key(block));
    }
}
