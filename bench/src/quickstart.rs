//! A small deployment to try out.

use std::time::Duration;

use primrosepin_core::serving::Policy;
use primrosepin_standin::engine;
use serde_json::{Value, json};

use crate::caller::{self, Observation, Outcome};
use crate::clock::now_us;
use crate::cluster::{Cluster, Spec};
use crate::workload::{Call, Kind};

/// Prompt lengths that `--once` sends, tokens.
const PROMPT_LENGTHS: [u64; 4] = [1_000, 10_000, 100_000, 1_000_000];

/// Number of plain calls that `--once` sends to each entry VM.
const PLAIN_CALLS: usize = 2;

/// Bytes of prompt text per token: one million tokens make a body of 5 MB.
const TOKEN_BYTES: usize = 5;

fn spec() -> Spec {
    Spec {
        zones: ["trnava-a", "nitra-b"].map(String::from).to_vec(),
        entries_per_zone: 1,
        controls: 1,
        engines: 4,
        plains: 1,
        drain_ms: 200,
        engine: engine::Settings {
            speed: 4.0,
            // A prompt of one million tokens spans the two engines of a zone.
            kv_tokens: 600_000,
            spans: true,
            ..engine::Settings::default()
        },
        ..Spec::fifteen_engines(Policy::Length, 1)
    }
}

/// Result of `--once`.
#[derive(Debug)]
pub struct OnceResult {
    /// Result as a table for terminals.
    pub table: String,
    /// Result as JSON.
    pub json: Value,
    /// Whether all calls got complete answers.
    pub all_answered: bool,
}

/// Starts the deployment. It answers every call from then on, because [`Cluster::start`] waits
/// until each entry VM reaches both services and each zone has a coordinator.
pub async fn start() -> eyre::Result<Cluster> {
    Cluster::start(spec()).await
}

/// Returns a help text with addresses and example commands.
pub fn help(cluster: &Cluster) -> String {
    use std::fmt::Write;
    let route = cluster.spec.route();
    let mut out = String::new();
    let (entry, key) = (cluster.entries[0].callers, &route.keys[0]);
    let body = format!(
        r#"{{"model":"{}","stream":true,"max_tokens":8,"messages":[{{"role":"user","content":"hello"}}]}}"#,
        route.model
    );
    // Writing to a string cannot fail.
    let _ = writeln!(
        out,
        "Prompts of one million tokens span the two engines of a zone.\nTry:\n\n\
         curl -N http://{entry}/v1/chat/completions -H 'Authorization: Bearer {key}' \
         -H 'Content-Type: application/json' -d '{body}'\n\n\
         curl http://{entry}{}/1 -H 'Authorization: Bearer {key}'\n",
        route.path
    );
    for control in &cluster.controls {
        let _ = writeln!(
            out,
            "control: http://{} (operator key {})",
            control.admin,
            crate::cluster::OPERATOR_KEY
        );
    }
    for entry in &cluster.entries {
        let _ = writeln!(out, "{}: admin http://{}", entry.name, entry.admin);
    }
    out
}

/// Sends prompts of each length and plain calls, one at a time.
pub async fn once(cluster: &Cluster) -> OnceResult {
    let mut route = cluster.spec.route();
    route.token_bytes = TOKEN_BYTES;
    let http = caller::client();
    let entries = cluster.callers();
    let mut results: Vec<(String, Observation)> = Vec::new();
    for (number, prompt_tokens) in PROMPT_LENGTHS.iter().enumerate() {
        let call = Call {
            at_us: 0,
            user: format!("quickstart-{prompt_tokens}"),
            kind: Kind::Engine {
                prompt_tokens: *prompt_tokens,
                max_tokens: 16,
            },
            organisation: 0,
            draw: 0,
        };
        let entry = entries[number % entries.len()];
        let observation = caller::send(&http, &route, entry, call, now_us()).await;
        results.push((format!("{prompt_tokens} tokens"), observation));
    }
    for entry in &entries {
        for number in 0..PLAIN_CALLS {
            let kind = if number == 0 {
                Kind::PlainGet
            } else {
                Kind::PlainPost
            };
            let call = Call {
                at_us: 0,
                user: format!("quickstart-plain-{}-{number}", entry.port()),
                kind,
                organisation: 0,
                draw: 0,
            };
            let observation = caller::send(&http, &route, *entry, call, now_us()).await;
            results.push((format!("plain {kind:?}"), observation));
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    table(&results)
}

fn table(results: &[(String, Observation)]) -> OnceResult {
    use std::fmt::Write;
    let mut out = format!(
        "{:>16} {:>12} {:>10} {:>10}\n",
        "call", "ttft ms", "total ms", "outcome"
    );
    let mut rows = Vec::new();
    let mut all_answered = true;
    for (name, observation) in results {
        let answered = observation.outcome == Some(Outcome::Answered) && observation.complete;
        all_answered &= answered;
        let outcome = match observation.outcome {
            Some(_) if answered => "answered".to_owned(),
            Some(outcome) => format!("{outcome:?} {} {}", observation.status, observation.code),
            None => format!("none {} {}", observation.status, observation.code),
        };
        let total_ms = (observation.end_us - observation.due_us) as f64 / 1e3;
        let ttft_ms = observation.ttft_ms();
        let ttft = ttft_ms.map_or("-".into(), |ms| format!("{ms:.1}"));
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{name:>16} {ttft:>12} {total_ms:>10.1} {outcome:>10}");
        rows.push(json!({
            "call": name, "ttft_ms": ttft_ms, "total_ms": total_ms, "outcome": outcome,
            "answered": answered,
        }));
    }
    OnceResult {
        table: out,
        json: json!({ "all_answered": all_answered, "calls": rows }),
        all_answered,
    }
}
