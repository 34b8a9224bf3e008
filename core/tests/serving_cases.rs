//! Runs the event sequences in `tests/cases`.
//!
//! Each line is an event. The lines after it that start with `>` are its expected effects, except
//! messages, notices and configurations. An event without such lines must have no other effects.

mod common;

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use common::*;
use primrosepin_core::ledger::{Answer, Call, Response};
use primrosepin_core::request::{Attempt, End, Id, Outcome};
use primrosepin_core::serving::effect::Effect;
use primrosepin_core::serving::event::Event;
use primrosepin_core::target::{Announcement, State};

struct Case {
    host: Host,
    targets: BTreeMap<String, Announcement>,
}

fn parse_attempt(text: &str) -> Attempt {
    let (id, number) = text
        .split_once('.')
        .expect("attempt is not written as REQUEST.NUMBER");
    attempt(
        id.parse().expect("request id is not a number"),
        number.parse().expect("value is not a number"),
    )
}

fn option<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words
        .iter()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

fn number(words: &[&str], name: &str) -> Option<u64> {
    option(words, name).map(|text| text.parse().expect("value is not a number"))
}

fn format_effect(effect: &Effect) -> Option<String> {
    let name = |attempt: &Attempt| format!("{}.{}", attempt.request.0, attempt.number);
    Some(match effect {
        Effect::Dispatch(dispatch) => {
            let resume = dispatch
                .resume
                .map(|(base, index)| format!(" resume {} {index}", name(&base)));
            let resume = resume.unwrap_or_default();
            let (attempt, target) = (name(&dispatch.attempt), &dispatch.target);
            format!(
                "dispatch {attempt} {target} priority {}{resume}",
                dispatch.priority
            )
        }
        Effect::Abort(attempt) => format!("abort {}", name(attempt)),
        Effect::Cancel { attempt, .. } => format!("cancel {}", name(attempt)),
        Effect::Respond(refusal) => {
            let retry = if refusal.retry_after_ms.is_some() {
                " retry"
            } else {
                ""
            };
            let (outcome, reason) = (refusal.outcome.as_str(), refusal.reason.as_str());
            format!("respond {} {outcome} {reason}{retry}", refusal.request.0)
        }
        Effect::Complete(id) => format!("complete {}", id.0),
        Effect::Replay {
            request, outcome, ..
        } => format!("replay {} {}", request.0, outcome.as_str()),
        Effect::HandOver { request, .. } => format!("hand_over {}", request.0),
        Effect::Ledger {
            request,
            call: Call::Begin { .. },
        } => format!("begin {}", request.0),
        Effect::Ledger {
            request,
            call: Call::Finish { outcome, .. },
        } => {
            format!("finish {} {}", request.0, outcome.as_str())
        }
        Effect::Probe { target, .. } => format!("probe {target}"),
        Effect::Ready(ready) => format!("ready {ready}"),
        Effect::Reserve { attempt, parts, .. } => {
            format!("reserve {} {}", name(attempt), parts.len())
        }
        Effect::ReleaseReservations { attempt, parts } => {
            format!("unreserve {} {}", name(attempt), parts.len())
        }
        Effect::Reconcile { .. } | Effect::Send { .. } | Effect::InForce(_) | Effect::Notice(_) => {
            return None;
        }
    })
}

impl Case {
    fn announce(&mut self, name: &str, words: &[&str]) -> Vec<Effect> {
        let port = 101 + self.targets.len() as u16;
        let plain_service = words.contains(&"plain");
        let make = || {
            if plain_service {
                plain(name, port)
            } else {
                engine(name, port)
            }
        };
        let target = self.targets.entry(name.to_owned()).or_insert_with(make);
        target.seq += 1;
        if let Some(incarnation) = number(words, "incarnation") {
            target.incarnation = incarnation;
        }
        if let Some(slots) = number(words, "slots") {
            target.max_running = slots as u32;
        }
        if let Some(tokens) = number(words, "backlog") {
            target.load.prefill_tokens = tokens;
        }
        target.spans = words.contains(&"spans");
        target.state = match option(words, "state") {
            Some("cold") => State::Cold,
            Some("draining") => State::Draining,
            _ => State::Warm,
        };
        self.host.announce(target.clone())
    }

    /// Advances the time while all targets keep announcing themselves.
    fn advance(&mut self, ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut left = ms;
        while left > 0 {
            let step = left.min(500);
            effects.extend(self.host.advance(step));
            left -= step;
            for target in self.targets.values_mut() {
                target.seq += 1;
                effects.extend(self.host.announce(target.clone()));
            }
        }
        effects
    }

    fn apply_line(&mut self, line: &str) -> Vec<Effect> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[0] {
            "announce" => self.announce(words[1], &words[2..]),
            "pass" => self.advance(words[1].parse().expect("milliseconds are not a number")),
            "arrive" => {
                let id = words[1].parse().expect("request id is not a number");
                let mut arrival = match number(&words, "tokens") {
                    Some(tokens) => prompt(id, tokens),
                    None => plain_request(id),
                };
                if let Some(organisation) = option(&words, "org") {
                    arrival.organisation = organisation.into();
                }
                arrival.at_most_once = words.contains(&"once");
                arrival.repeatable = !words.contains(&"once") && !words.contains(&"unrepeatable");
                arrival.handed_over = words.contains(&"handed_over");
                self.host.arrive(arrival)
            }
            "gone" => self.host.apply(Event::CallerGone(Id(words[1]
                .parse()
                .expect("request id is not a number")))),
            "started" => self.host.apply(Event::Started(parse_attempt(words[1]))),
            "progress" => self.host.apply(Event::Progress {
                attempt: parse_attempt(words[1]),
                tokens: words[2].parse().expect("tokens are not a number"),
            }),
            "end" => {
                let end = match words[2] {
                    "whole" => COMPLETE_ANSWER,
                    "busy" => End::NotRun { busy: true },
                    "unreached" => End::NotRun { busy: false },
                    "lost" => End::NoAnswer,
                    "broken" => End::Truncated,
                    other => panic!("unknown end {other}"),
                };
                self.host.end(parse_attempt(words[1]), end)
            }
            "ledger" => {
                let answer = match words[2] {
                    "claimed" => Answer::Claimed,
                    "in_flight" => Answer::InFlight,
                    "conflict" => Answer::Conflict,
                    "unavailable" => Answer::Unavailable,
                    "recorded" => Answer::Recorded,
                    "finished" => Answer::Finished {
                        outcome: Outcome::Answered,
                        response: Some(Response {
                            status: 200,
                            content_type: "application/json".into(),
                            body: Vec::new(),
                        }),
                    },
                    other => panic!("unknown answer {other}"),
                };
                let request = Id(words[1].parse().expect("request id is not a number"));
                self.host.apply(Event::Ledger { request, answer })
            }
            "probed" => self.host.apply(Event::Probed {
                target: words[1].into(),
                alive: words[2] == "alive",
            }),
            "reserved" => self.host.apply(Event::Reserved {
                attempt: parse_attempt(words[1]),
                all: words[2] == "all",
            }),
            other => panic!("unknown event {other}"),
        }
    }
}

fn run_file(path: &Path) {
    let text = fs::read_to_string(path).expect("case file is not readable");
    let mut case = Case {
        host: Host::single_vm(),
        targets: BTreeMap::new(),
    };
    let lines: Vec<&str> = text
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .collect();
    let mut at = 0;
    while at < lines.len() {
        let event = lines[at];
        let effects: Vec<String> = case
            .apply_line(event)
            .iter()
            .filter_map(format_effect)
            .collect();
        at += 1;
        let expected: Vec<&str> = lines[at..]
            .iter()
            .map_while(|line| line.strip_prefix("> "))
            .collect();
        assert_eq!(
            effects,
            expected,
            "effects of `{event}` in {}",
            path.display()
        );
        at += expected.len();
    }
}

/// Guards against unintended changes in the order and choice of effects. The head of each file
/// names the failure that its sequence guards against.
#[test]
fn cases() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    let mut files: Vec<_> = fs::read_dir(folder)
        .expect("folder of case files is not readable")
        .map(|entry| entry.expect("folder entry is not readable").path())
        .collect();
    files.sort();
    assert!(files.len() >= 6, "expected at least 6 case files");
    for file in files {
        run_file(&file);
    }
}
