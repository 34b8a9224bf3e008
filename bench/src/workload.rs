//! Calls of an experiment: open-loop Poisson arrivals drawn from a seed.

use std::sync::LazyLock;

use bytes::{BufMut, Bytes, BytesMut};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Longest prompt, tokens.
pub const PROMPT_TOKENS_MAX: u64 = 1_000_000;

/// Bytes of prompt text per token; entry VMs estimate tokens by the same ratio.
pub const TOKEN_BYTES: usize = 4;

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A generation on an engine.
    Engine {
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Limit of generated tokens.
        max_tokens: u64,
    },
    /// A plain call that may be repeated.
    PlainGet,
    /// A plain call that must run at most once.
    PlainPost,
}

/// A scheduled call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Scheduled time after the start of the load, microseconds.
    pub at_us: u64,
    /// Identifies the call in the records of callers and stand-ins.
    pub user: String,
    /// Kind of the call.
    pub kind: Kind,
    /// Index of the organisation.
    pub organisation: usize,
    /// Random number by which the load balancer selects the entry VM.
    pub draw: u64,
}

/// Distribution of prompt lengths: weight of each range, log-uniform within a range.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mixture {
    /// From 1,000 to 8,000 tokens.
    pub short: u32,
    /// From 8,000 to 100,000 tokens.
    pub medium: u32,
    /// From 100,000 to 1,000,000 tokens.
    pub long: u32,
}

/// 85% of prompts from 1,000 to 8,000 tokens, one in 50 over 100,000.
pub const MIXED: Mixture = Mixture {
    short: 850,
    medium: 130,
    long: 20,
};

/// Prompts from 8,000 tokens only.
pub const LONG_ONLY: Mixture = Mixture {
    short: 0,
    medium: 700,
    long: 300,
};

impl Mixture {
    fn draw(&self, random: &mut StdRng) -> u64 {
        let total = self.short + self.medium + self.long;
        let pick = random.random_range(0..total.max(1));
        let (low, high) = if pick < self.short {
            (1_000.0, 8_000.0)
        } else if pick < self.short + self.medium {
            (8_000.0, 100_000.0)
        } else {
            (100_000.0, PROMPT_TOKENS_MAX as f64)
        };
        log_uniform(random, low, high) as u64
    }

    /// Returns the mean prompt length.
    pub fn mean_tokens(&self) -> f64 {
        let mean = |low: f64, high: f64| (high - low) / (high / low).ln();
        let total = f64::from(self.short + self.medium + self.long);
        (f64::from(self.short) * mean(1e3, 8e3)
            + f64::from(self.medium) * mean(8e3, 1e5)
            + f64::from(self.long) * mean(1e5, 1e6))
            / total
    }
}

fn log_uniform(random: &mut StdRng, low: f64, high: f64) -> f64 {
    low * (high / low).powf(random.random::<f64>())
}

/// Rates and sizes of the calls of an experiment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Distribution of prompt lengths.
    pub mixture: Mixture,
    /// Generations per second.
    pub engine_rate: f64,
    /// Plain calls per second, half of which must run at most once.
    pub plain_rate: f64,
    /// Smallest and largest limit of generated tokens.
    pub max_tokens: (u64, u64),
    /// Number of organisations.
    pub organisations: usize,
}

impl Load {
    /// Draws the calls of a time span, ordered by scheduled time.
    pub fn calls(&self, seed: u64, duration_us: u64) -> Vec<Call> {
        let mut random = StdRng::seed_from_u64(seed);
        let rate = self.engine_rate + self.plain_rate;
        let mut calls = Vec::new();
        let mut at = 0.0;
        if rate <= 0.0 {
            return calls;
        }
        loop {
            at -= (1.0 - random.random::<f64>()).ln() / rate * 1e6;
            if at >= duration_us as f64 {
                return calls;
            }
            let kind = if random.random::<f64>() * rate < self.engine_rate {
                let (low, high) = self.max_tokens;
                Kind::Engine {
                    prompt_tokens: self.mixture.draw(&mut random),
                    max_tokens: log_uniform(&mut random, low as f64, high as f64 + 1.0) as u64,
                }
            } else if random.random_bool(0.5) {
                Kind::PlainGet
            } else {
                Kind::PlainPost
            };
            // The smaller of two draws gives organisations with low indexes more calls than others.
            let organisations = self.organisations.max(1);
            let draws = [(); 2].map(|()| random.random_range(0..organisations));
            calls.push(Call {
                at_us: at as u64,
                user: format!("{seed:x}-{}", calls.len()),
                kind,
                organisation: draws[0].min(draws[1]),
                draw: random.random(),
            });
        }
    }
}

/// Random text from which prompts are cut.
static TEXT: LazyLock<Bytes> = LazyLock::new(|| {
    let mut random = StdRng::seed_from_u64(7);
    let mut text = BytesMut::new();
    while text.len() < 6_000_000 {
        for _ in 0..random.random_range(2..9) {
            text.put_u8(random.random_range(b'a'..=b'z'));
        }
        text.put_u8(b' ');
    }
    text.freeze()
});

/// Builds the JSON body of a generation. The prompt starts with the unique user name, so that no
/// prefix cache shortens the prefill.
pub fn body(
    model: &str,
    user: &str,
    prompt_tokens: u64,
    max_tokens: u64,
    token_bytes: usize,
) -> Bytes {
    let head = format!(
        r#"{{"model":"{model}","stream":true,"user":"{user}","prompt_tokens":{prompt_tokens},"max_tokens":{max_tokens},"messages":[{{"role":"user","content":"{user} "#
    );
    let tail = br#""}]}"#;
    let whole = prompt_tokens as usize * token_bytes;
    let fill = whole.saturating_sub(head.len() + tail.len());
    let mut body = BytesMut::with_capacity(head.len() + fill + tail.len());
    body.extend_from_slice(head.as_bytes());
    body.extend_from_slice(&TEXT[..fill.min(TEXT.len())]);
    body.extend_from_slice(tail);
    body.freeze()
}
