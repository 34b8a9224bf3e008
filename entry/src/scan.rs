//! Fields of a request body that routing needs, read without a value tree.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Default;

/// Bytes of prompt text that one prefix hash covers beyond the one before; about 1,000 tokens.
const PREFIX_BLOCK_BYTES: usize = 4_096;

/// Bytes of JSON for one token of prompt where the caller gives no count.
const BYTES_PER_TOKEN: u64 = 4;

/// Tokens to generate where the caller gives no limit.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// What routing needs of a body.
#[derive(Debug, PartialEq)]
pub(crate) struct Scan {
    /// Model name.
    pub(crate) model: String,
    /// Whether the answer is streamed.
    pub(crate) stream: bool,
    /// Largest number of tokens to generate.
    pub(crate) max_tokens: u64,
    /// Prompt length, tokens.
    pub(crate) prompt_tokens: u64,
    /// Hashes of the prompt's prefix blocks.
    pub(crate) prefix: SmallVec<[u64; 8]>,
}

#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    prompt_tokens: Option<u64>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

impl Scan {
    /// Reads the fields of a body. The whole body is checked to be JSON.
    pub(crate) fn read(bytes: &[u8]) -> Result<Self, String> {
        let body: Body<'_> = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        let Some(prompt) = body.messages.or(body.prompt) else {
            return Err("expected `messages` or `prompt`".into());
        };
        let prompt = prompt.get().as_bytes();
        let prefix = prefix_hashes(&body.model, prompt);
        Ok(Self {
            model: body.model.into_owned(),
            stream: body.stream.unwrap_or(false),
            max_tokens: body
                .max_tokens
                .or(body.max_completion_tokens)
                .unwrap_or(DEFAULT_MAX_TOKENS),
            prompt_tokens: body
                .prompt_tokens
                .unwrap_or(prompt.len() as u64 / BYTES_PER_TOKEN)
                .max(1),
            prefix,
        })
    }
}

/// Hashes each full block together with all text before it.
fn prefix_hashes(model: &str, prompt: &[u8]) -> SmallVec<[u64; 8]> {
    let mut hash = Xxh3Default::new();
    // Models do not share cached prefixes.
    hash.update(model.as_bytes());
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .map(|block| {
            hash.update(block);
            hash.digest()
        })
        .collect()
}
