//! Events of a stream, and the reader that takes them.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::unfold;
use serde_json::json;

use super::Shared;
use crate::answer;
use crate::time::now_us;

/// What a stream of events is about.
#[derive(Debug, Clone)]
pub(crate) struct Form {
    /// Attempt that is read.
    pub(crate) attempt: String,
    /// Attempt that the events name; differs if answers are crossed.
    pub(crate) named: String,
    /// Key of the text.
    pub(crate) key: u64,
    /// Whether the events are chat chunks.
    pub(crate) chat: bool,
    /// Model name, as JSON.
    pub(crate) model: String,
    /// Events after which the connection closes.
    pub(crate) cut_after: Option<u64>,
    /// Event that is left out.
    pub(crate) leave_out: Option<u64>,
    /// Event that is sent twice.
    pub(crate) twice: Option<u64>,
}

impl Form {
    fn event(&self, index: u64, usage: (u64, u64, u64), out: &mut String) {
        use std::fmt::Write;
        let (prompt, cached, generated) = usage;
        let Self { named, model, .. } = self;
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
                "id: {named}:{index}\ndata: {{\"id\":\"{named}\",\"object\":\"{object}\",\
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
                "id: {named}:{index}\ndata: {{\"id\":\"{named}\",\"object\":\"{object}\",\
                 \"model\":{model},\"choices\":[{{\"index\":0,{choice},\
                 \"finish_reason\":\"stop\"}}],\"usage\":{}}}\n\n",
                usage_json(prompt, cached, generated)
            )
        } else {
            write!(out, "id: {named}:{index}\ndata: [DONE]\n\n")
        };
    }
}

/// Returns the `usage` field.
pub(crate) fn usage_json(prompt: u64, cached: u64, generated: u64) -> serde_json::Value {
    json!({
        "prompt_tokens": prompt, "completion_tokens": generated,
        "total_tokens": prompt + generated,
        "prompt_tokens_details": { "cached_tokens": cached },
    })
}

/// A connected reader; detaches when dropped.
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

/// Returns the events from an index on; the stream fails if the attempt ends before its answer.
pub(crate) fn events(
    reader: Reader,
    form: Form,
    from: u64,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    unfold(Some((reader, form, from)), |state| async move {
        let (reader, form, mut next) = state?;
        loop {
            let notify = {
                let mut model = reader.shared.model();
                let usage = model.usage(&form.attempt);
                let attempt = model.attempt_of_reader(&form.attempt, reader.number);
                let (Some(usage), Some(attempt)) = (usage, attempt) else {
                    let gone = std::io::Error::other("the engine no longer holds the attempt");
                    return Some((Err(gone), None));
                };
                let (available, notify) = (attempt.available_events(), Arc::clone(&attempt.notify));
                let end = available > attempt.generated && next >= available;
                if end {
                    return None;
                }
                if next < available {
                    let mut out = String::new();
                    let until = form.cut_after.map_or(available, |cut| available.min(cut));
                    while next < until {
                        if form.leave_out != Some(next) {
                            form.event(next, usage, &mut out);
                        }
                        if form.twice == Some(next) {
                            form.event(next, usage, &mut out);
                        }
                        next += 1;
                    }
                    if form.cut_after.is_some_and(|cut| next >= cut) && out.is_empty() {
                        let cut = std::io::Error::other("cut on request");
                        return Some((Err(cut), None));
                    }
                    model.record_read(&form.attempt, reader.number, next, now_us());
                    drop(model);
                    return Some((Ok(Bytes::from(out)), Some((reader, form, next))));
                }
                // Created under the lock, so that no notice between here and the wait is missed.
                notify.notified_owned()
            };
            notify.await;
        }
    })
}
