//! Prefix cache with limited memory. Its changes are published as numbered events, with a lag and
//! with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Length of the text that one block covers, bytes.
pub const BLOCK_BYTES: usize = 4_096;

/// Events kept for later queries; older ones are dropped.
const EVENTS_MAX: usize = 4_096;

/// Returns, for each complete block, the hash of the text up to the end of that block.
pub fn block_hashes<'a, T>(text: T) -> Vec<u64>
where
    T: IntoIterator<Item = &'a str>,
{
    let mut hash = Xxh3::new();
    let mut filled_bytes = 0;
    let mut hashes = Vec::new();
    for part in text {
        let mut bytes = part.as_bytes();
        while !bytes.is_empty() {
            let (current, rest) = bytes.split_at(bytes.len().min(BLOCK_BYTES - filled_bytes));
            hash.update(current);
            filled_bytes += current.len();
            bytes = rest;
            if filled_bytes == BLOCK_BYTES {
                hashes.push(hash.digest());
                filled_bytes = 0;
            }
        }
    }
    hashes
}

/// A change of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number. A gap between numbers means that an event was lost.
    pub n: u64,
    /// Hashes of the blocks that were stored.
    pub stored: Vec<u64>,
    /// Hashes of the blocks that were evicted.
    pub evicted: Vec<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Block {
    /// Sequence number of the last use.
    last_use: u64,
    tokens: u64,
}

#[derive(Debug)]
pub(crate) struct Cache {
    /// Blocks by hash.
    blocks: HashMap<u64, Block>,
    /// Hashes by the sequence number of their last use, for LRU eviction.
    hash_by_use: BTreeMap<u64, u64>,
    last_use: u64,
    pub(crate) tokens: u64,
    next_event: u64,
    /// Events with their times, microseconds.
    events: VecDeque<(u64, Event)>,
    random: StdRng,
}

impl Cache {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            blocks: HashMap::new(),
            hash_by_use: BTreeMap::new(),
            last_use: 0,
            tokens: 0,
            next_event: 0,
            events: VecDeque::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the number of leading blocks that are cached, and marks them as used.
    pub(crate) fn matching(&mut self, hashes: &[u64]) -> usize {
        let mut matching = 0;
        for hash in hashes {
            let Some(block) = self.blocks.get_mut(hash) else {
                break;
            };
            self.hash_by_use.remove(&block.last_use);
            self.last_use += 1;
            block.last_use = self.last_use;
            self.hash_by_use.insert(self.last_use, *hash);
            matching += 1;
        }
        matching
    }

    /// Stores the leading blocks that fit into `capacity_tokens`, then evicts the least recently used
    /// blocks until all fit. The event is lost with probability `gap_probability`.
    pub(crate) fn store(
        &mut self,
        hashes: &[u64],
        block_tokens: u64,
        capacity_tokens: u64,
        gap_probability: f64,
        now_us: u64,
    ) {
        let mut stored = Vec::new();
        for hash in hashes
            .iter()
            .take((capacity_tokens / block_tokens.max(1)) as usize)
        {
            if self.blocks.contains_key(hash) {
                continue;
            }
            self.last_use += 1;
            self.hash_by_use.insert(self.last_use, *hash);
            self.blocks.insert(
                *hash,
                Block {
                    last_use: self.last_use,
                    tokens: block_tokens,
                },
            );
            self.tokens += block_tokens;
            stored.push(*hash);
        }
        let evicted = self.shrink(capacity_tokens);
        self.publish(stored, evicted, gap_probability, now_us);
    }

    /// Evicts the least recently used blocks until the rest fits into `capacity_tokens`.
    pub(crate) fn evict(&mut self, capacity_tokens: u64, gap_probability: f64, now_us: u64) {
        let evicted = self.shrink(capacity_tokens);
        self.publish(Vec::new(), evicted, gap_probability, now_us);
    }

    fn shrink(&mut self, capacity_tokens: u64) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.tokens > capacity_tokens {
            let Some((_, hash)) = self.hash_by_use.pop_first() else {
                break;
            };
            if let Some(block) = self.blocks.remove(&hash) {
                self.tokens -= block.tokens;
                evicted.push(hash);
            }
        }
        evicted
    }

    fn publish(&mut self, stored: Vec<u64>, evicted: Vec<u64>, gap_probability: f64, now_us: u64) {
        if stored.is_empty() && evicted.is_empty() {
            return;
        }
        let n = self.next_event;
        self.next_event += 1;
        if self.random.random_bool(gap_probability.clamp(0.0, 1.0)) {
            return;
        }
        let event = Event { n, stored, evicted };
        self.events.push_back((now_us, event));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Returns the events from number `from` on that were published no later than `before_us`.
    pub(crate) fn events(&self, from: u64, before_us: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|(at_us, event)| *at_us <= before_us && event.n >= from)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Returns the number of the next event and the hashes of all cached blocks.
    pub(crate) fn contents(&self) -> (u64, Vec<u64>) {
        (self.next_event, self.blocks.keys().copied().collect())
    }
}
