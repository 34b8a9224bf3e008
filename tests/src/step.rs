//! Steps of a simulated history. They can be written and parsed as text, so that a failing history can be kept
//! as a test case.

use std::fmt;
use std::str::FromStr;

/// One step of a history. A node is a simulated entry VM. A node, engine or zone is selected by a number
/// modulo the number of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A caller sends a request to a node.
    Send {
        /// Node that receives the request.
        node: u8,
        /// Prompt length in thousands of tokens.
        kilotokens: u16,
        /// Number of the idempotency key; a request with a key must run at most once.
        key: Option<u8>,
    },
    /// The caller of a node's most recent unfinished request disconnects.
    CallerGone(u8),
    /// An engine process dies and restarts cold 3 s later.
    Kill(u8),
    /// An engine turns cold without a restart and loses its running attempts.
    Cold(u8),
    /// Open connections to an engine stop delivering data without closing; new ones work.
    Silence(u8),
    /// An engine closes its open streams before their end.
    Cut(u8),
    /// An engine announces that it drains.
    Drain(u8),
    /// A node crashes.
    Crash(u8),
    /// A crashed node starts again with a new incarnation.
    Restart(u8),
    /// A node stops processing events; they queue until it resumes.
    Pause(u8),
    /// A paused node resumes and processes its queued events.
    Resume(u8),
    /// A node begins a graceful shutdown.
    Shutdown(u8),
    /// A node loses its connections to the other nodes and to the control VMs.
    Isolate(u8),
    /// The control VMs become unreachable from a zone.
    CutControl(u8),
    /// All network partitions end.
    Heal,
    /// Operators take a zone out of service.
    ZoneOut(u8),
    /// Operators bring a zone back into service.
    ZoneIn(u8),
    /// Operators take a target out of service.
    TargetOut(u8),
    /// Operators bring a target back into service, which also ends its drain.
    TargetIn(u8),
    /// Virtual time passes; in milliseconds.
    Wait(u16),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::Send {
                node,
                kilotokens,
                key: None,
            } => write!(f, "send {node} {kilotokens}"),
            Self::Send {
                node,
                kilotokens,
                key: Some(key),
            } => {
                write!(f, "send {node} {kilotokens} key {key}")
            }
            Self::CallerGone(n) => write!(f, "caller-gone {n}"),
            Self::Kill(n) => write!(f, "kill {n}"),
            Self::Cold(n) => write!(f, "cold {n}"),
            Self::Silence(n) => write!(f, "silence {n}"),
            Self::Cut(n) => write!(f, "cut {n}"),
            Self::Drain(n) => write!(f, "drain {n}"),
            Self::Crash(n) => write!(f, "crash {n}"),
            Self::Restart(n) => write!(f, "restart {n}"),
            Self::Pause(n) => write!(f, "pause {n}"),
            Self::Resume(n) => write!(f, "resume {n}"),
            Self::Shutdown(n) => write!(f, "shutdown {n}"),
            Self::Isolate(n) => write!(f, "isolate {n}"),
            Self::CutControl(n) => write!(f, "cut-control {n}"),
            Self::Heal => write!(f, "heal"),
            Self::ZoneOut(n) => write!(f, "zone-out {n}"),
            Self::ZoneIn(n) => write!(f, "zone-in {n}"),
            Self::TargetOut(n) => write!(f, "target-out {n}"),
            Self::TargetIn(n) => write!(f, "target-in {n}"),
            Self::Wait(ms) => write!(f, "wait {ms}"),
        }
    }
}

/// The text, which is not a valid step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError(pub String);

impl FromStr for Step {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError(text.to_owned());
        let words: Vec<&str> = text.split_whitespace().collect();
        let parse_u16 = |index: usize| -> Result<u16, ParseError> {
            words
                .get(index)
                .and_then(|word| word.parse().ok())
                .ok_or_else(error)
        };
        let parse_u8 = |index: usize| -> Result<u8, ParseError> {
            words
                .get(index)
                .and_then(|word| word.parse().ok())
                .ok_or_else(error)
        };
        Ok(match words.first().copied() {
            Some("send") => Self::Send {
                node: parse_u8(1)?,
                kilotokens: parse_u16(2)?,
                key: if words.len() > 3 {
                    Some(parse_u8(4)?)
                } else {
                    None
                },
            },
            Some("caller-gone") => Self::CallerGone(parse_u8(1)?),
            Some("kill") => Self::Kill(parse_u8(1)?),
            Some("cold") => Self::Cold(parse_u8(1)?),
            Some("silence") => Self::Silence(parse_u8(1)?),
            Some("cut") => Self::Cut(parse_u8(1)?),
            Some("drain") => Self::Drain(parse_u8(1)?),
            Some("crash") => Self::Crash(parse_u8(1)?),
            Some("restart") => Self::Restart(parse_u8(1)?),
            Some("pause") => Self::Pause(parse_u8(1)?),
            Some("resume") => Self::Resume(parse_u8(1)?),
            Some("shutdown") => Self::Shutdown(parse_u8(1)?),
            Some("isolate") => Self::Isolate(parse_u8(1)?),
            Some("cut-control") => Self::CutControl(parse_u8(1)?),
            Some("heal") => Self::Heal,
            Some("zone-out") => Self::ZoneOut(parse_u8(1)?),
            Some("zone-in") => Self::ZoneIn(parse_u8(1)?),
            Some("target-out") => Self::TargetOut(parse_u8(1)?),
            Some("target-in") => Self::TargetIn(parse_u8(1)?),
            Some("wait") => Self::Wait(parse_u16(1)?),
            _ => return Err(error()),
        })
    }
}
