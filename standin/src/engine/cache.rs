//! Prefix cache with limited memory and numbered events that are published late and with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Text covered by one block.
pub const BLOCK_BYTES: usize = 4_096;

/// Events kept for readers.
const EVENTS_MAX: usize = 4_096;

/// Returns the hash of the text up to the end of each whole block.
pub fn block_hashes<'a, T>(text: T) -> Vec<u64>
where
    T: IntoIterator<Item = &'a str>,
{
    let mut hash = Xxh3::new();
    let mut filled = 0;
    let mut blocks = Vec::new();
    for part in text {
        let mut bytes = part.as_bytes();
        while !bytes.is_empty() {
            let (now, later) = bytes.split_at(bytes.len().min(BLOCK_BYTES - filled));
            hash.update(now);
            filled += now.len();
            bytes = later;
            if filled == BLOCK_BYTES {
                blocks.push(hash.digest());
                filled = 0;
            }
        }
    }
    blocks
}

/// A change of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event.
    pub n: u64,
    /// Blocks now held.
    pub stored: Vec<u64>,
    /// Blocks no longer held.
    pub evicted: Vec<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Block {
    used: u64,
    tokens: u64,
}

#[derive(Debug)]
pub(crate) struct Cache {
    held: HashMap<u64, Block>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    pub(crate) tokens: u64,
    next: u64,
    events: VecDeque<(u64, Event)>,
    random: StdRng,
}

impl Cache {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            held: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            tokens: 0,
            next: 0,
            events: VecDeque::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the number of leading blocks that are held, and marks them as used.
    pub(crate) fn matching(&mut self, blocks: &[u64]) -> usize {
        let mut matching = 0;
        for hash in blocks {
            let Some(block) = self.held.get_mut(hash) else {
                break;
            };
            self.by_use.remove(&block.used);
            self.uses += 1;
            block.used = self.uses;
            self.by_use.insert(self.uses, *hash);
            matching += 1;
        }
        matching
    }

    /// Stores blocks while `room` tokens last.
    pub(crate) fn store(
        &mut self,
        blocks: &[u64],
        block_tokens: u64,
        room: u64,
        gap: f64,
        now_us: u64,
    ) {
        let mut stored = Vec::new();
        for hash in blocks.iter().take((room / block_tokens.max(1)) as usize) {
            if self.held.contains_key(hash) {
                continue;
            }
            self.uses += 1;
            self.by_use.insert(self.uses, *hash);
            self.held.insert(
                *hash,
                Block {
                    used: self.uses,
                    tokens: block_tokens,
                },
            );
            self.tokens += block_tokens;
            stored.push(*hash);
        }
        let evicted = self.shrink(room);
        self.publish(stored, evicted, gap, now_us);
    }

    /// Evicts the blocks unused for longest until the rest fits.
    pub(crate) fn evict(&mut self, room: u64, gap: f64, now_us: u64) {
        let evicted = self.shrink(room);
        self.publish(Vec::new(), evicted, gap, now_us);
    }

    fn shrink(&mut self, room: u64) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.tokens > room {
            let Some((_, hash)) = self.by_use.pop_first() else {
                break;
            };
            if let Some(block) = self.held.remove(&hash) {
                self.tokens -= block.tokens;
                evicted.push(hash);
            }
        }
        evicted
    }

    fn publish(&mut self, stored: Vec<u64>, evicted: Vec<u64>, gap: f64, now_us: u64) {
        if stored.is_empty() && evicted.is_empty() {
            return;
        }
        let n = self.next;
        self.next += 1;
        if self.random.random_bool(gap.clamp(0.0, 1.0)) {
            return;
        }
        let event = Event { n, stored, evicted };
        self.events.push_back((now_us, event));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Returns the events from a number that are older than `before_us`.
    pub(crate) fn events(&self, from: u64, before_us: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|(at, event)| *at <= before_us && event.n >= from)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Returns the number of the next event and all blocks held.
    pub(crate) fn all(&self) -> (u64, Vec<u64>) {
        (self.next, self.held.keys().copied().collect())
    }
}
