//! Extracts the fields needed for routing from a request body without building a JSON value tree.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Default;

/// Bytes of prompt text that each prefix hash adds to the previous one; about 1,000 tokens.
const PREFIX_BLOCK_BYTES: usize = 4_096;

/// Assumed JSON bytes per prompt token if the caller gives no token count.
const BYTES_PER_TOKEN: u64 = 4;

/// Maximum number of generated tokens if the caller gives no limit.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// Fields of a request body that are needed for routing.
#[derive(Debug, PartialEq)]
pub(crate) struct Scan {
    /// Model name.
    pub(crate) model: String,
    /// Whether a streamed response is requested.
    pub(crate) stream: bool,
    /// Maximum number of tokens to generate.
    pub(crate) max_tokens: u64,
    /// Prompt length in tokens.
    pub(crate) prompt_tokens: u64,
    /// Cumulative hashes of the prompt's full blocks, for prefix cache lookups.
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
    /// Extracts the fields from a body. Fails if the body as a whole is not valid JSON.
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

/// Returns for each full block the hash of the model name and the prompt up to the end of the
/// block.
fn prefix_hashes(model: &str, prompt: &[u8]) -> SmallVec<[u64; 8]> {
    let mut hash = Xxh3Default::new();
    // Cached prefixes are not shared between models.
    hash.update(model.as_bytes());
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .map(|block| {
            hash.update(block);
            hash.digest()
        })
        .collect()
}
