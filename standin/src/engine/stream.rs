//! Event streams of answers, and their readers.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::unfold;
use serde_json::json;

use super::Shared;
use crate::answer;
use crate::time::now_us;

/// Content and format of an answer, with the injected faults that apply to it.
#[derive(Debug, Clone)]
pub(crate) struct AnswerSpec {
    /// Attempt whose progress the answer follows.
    pub(crate) attempt: String,
    /// Attempt that the answer names; another one if the answers are swapped by a fault.
    pub(crate) named_attempt: String,
    /// Key that determines the text.
    pub(crate) key: u64,
    /// Whether the format is that of chat completions.
    pub(crate) chat: bool,
    /// Model name, encoded as JSON.
    pub(crate) model: String,
    /// Number of events after which the connection is closed.
    pub(crate) close_after: Option<u64>,
    /// Index of the event that is omitted.
    pub(crate) omitted: Option<u64>,
    /// Index of the event that is sent twice.
    pub(crate) duplicated: Option<u64>,
}

impl AnswerSpec {
    /// Appends the event with an index to `out`.
    fn write_event(&self, index: u64, usage: (u64, u64, u64), out: &mut String) {
        use std::fmt::Write;
        let (prompt, cached, generated) = usage;
        let Self {
            named_attempt,
            model,
            ..
        } = self;
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        // Writing to a string cannot fail.
        let _written = if index < generated {
            let text = answer::token(self.key, index);
            let choice = if self.chat {
                format!(r#""delta":{{"content":"{text}"}}"#)
            } else {
                format!(r#""text":"{text}""#)
            };
            write!(
                out,
                "id: {named_attempt}:{index}\ndata: {{\"id\":\"{named_attempt}\",\"object\":\"{object}\",\
                 \"model\":{model},\"choices\":[{{\"index\":0,{choice},\
                 \"finish_reason\":null}}]}}\n\n"
            )
        } else if index <= generated {
            let choice = if self.chat {
                r#""delta":{}"#
            } else {
                r#""text":"""#
            };
            write!(
                out,
                "id: {named_attempt}:{index}\ndata: {{\"id\":\"{named_attempt}\",\"object\":\"{object}\",\
                 \"model\":{model},\"choices\":[{{\"index\":0,{choice},\
                 \"finish_reason\":\"stop\"}}],\"usage\":{}}}\n\n",
                usage_json(prompt, cached, generated)
            )
        } else {
            write!(out, "id: {named_attempt}:{index}\ndata: [DONE]\n\n")
        };
    }
}

/// Returns the `usage` object of an answer.
pub(crate) fn usage_json(prompt: u64, cached: u64, generated: u64) -> serde_json::Value {
    json!({
        "prompt_tokens": prompt, "completion_tokens": generated,
        "total_tokens": prompt + generated,
        "prompt_tokens_details": { "cached_tokens": cached },
    })
}

/// A connected reader of an attempt; dropping it disconnects it.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) shared: Arc<Shared>,
    pub(crate) attempt: String,
    pub(crate) number: u64,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.shared
            .model()
            .detach_reader(&self.attempt, self.number, now_us());
    }
}

/// Returns the events from index `from` on. The stream fails if the attempt is removed before its
/// answer is complete.
pub(crate) fn events(
    reader: Reader,
    spec: AnswerSpec,
    from: u64,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    unfold(Some((reader, spec, from)), |state| async move {
        let (reader, spec, mut next) = state?;
        loop {
            let notify = {
                let mut model = reader.shared.model();
                let usage = model.usage(&spec.attempt);
                let attempt = model.attempt_of_reader(&spec.attempt, reader.number);
                let (Some(usage), Some(attempt)) = (usage, attempt) else {
                    let removed = std::io::Error::other("the engine no longer holds the attempt");
                    return Some((Err(removed), None));
                };
                let (available, notify) = (attempt.available_events(), Arc::clone(&attempt.notify));
                let complete = available > attempt.generated && next >= available;
                if complete {
                    return None;
                }
                if next < available {
                    let mut out = String::new();
                    let until = spec
                        .close_after
                        .map_or(available, |close| available.min(close));
                    while next < until {
                        if spec.omitted != Some(next) {
                            spec.write_event(next, usage, &mut out);
                        }
                        if spec.duplicated == Some(next) {
                            spec.write_event(next, usage, &mut out);
                        }
                        next += 1;
                    }
                    if spec.close_after.is_some_and(|close| next >= close) && out.is_empty() {
                        let closed = std::io::Error::other("stream closed by an injected fault");
                        return Some((Err(closed), None));
                    }
                    model.record_read(&spec.attempt, reader.number, next, now_us());
                    drop(model);
                    return Some((Ok(Bytes::from(out)), Some((reader, spec, next))));
                }
                // Created under the lock, so that no notification before the wait is missed.
                notify.notified_owned()
            };
            notify.await;
        }
    })
}
