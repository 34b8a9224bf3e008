//! Serving decisions for a region whose targets take work from every entry VM.
//!
//! Each entry VM has one [`Reducer`]. It keeps the VM's view of the fleet and decides for each
//! request where it runs, when it is retried and when it is refused. It takes the time and an
//! [`Event`] and appends [`Effect`]s; it reads no clock, socket or random source.
//!
//! # State
//!
//! - [`Directory`]: targets by their announcements, ordered by start time and sequence number.
//! - [`LoadTable`]: load of each target, from this VM and its peers.
//! - [`PaceTable`]: how much slower than announced targets are.
//! - [`SlidingWindow`]: request counts that bound retries and requests to targets in cold start.
//! - [`Retained`]: beginnings of prompts that targets still hold.
//! - [`PlannerMessage`]: messages to and from the planner, the VM that places long prompts for the
//!   whole region from one queue.
//! - [`share::Ledger`] and [`comeback::Book`]: waiting order of services with priorities, from this VM and its peers.
//! - [`Freshness`]: up to what time the configuration is known to hold every committed change, such
//!   as the revocation of a key.
//!
//! # Invariants
//!
//! - The configuration never goes back to an older revision.
//! - A request with a key is dispatched only while the configuration is fresh.
//! - A request that may run at most once is dispatched again only after proof that it did not run.

mod attempts;
pub mod comeback;
mod config;
mod directory;
mod division;
mod effect;
mod engine;
mod event;
mod fetch;
mod freshness;
mod guard;
mod health;
mod holder;
mod limit;
mod load;
mod order;
mod pace;
mod pending;
mod placement;
mod planner;
mod planner_message;
mod policy;
mod prompt;
mod queue;
mod reach;
mod reducer;
mod relocation;
mod request;
mod resend;
mod retained;
pub mod share;
mod topology;
mod trial;
mod window;

pub use config::{Config, ConfigError, Limits, Organisation, RetryPolicy, Route, Service};
pub use directory::{Announcement, Directory, Entry, Notice, Renewal, State, Target};
pub use division::Division;
pub use effect::{Dispatch, Effect, LoadReport, PlannerDecision, Reason, Refusal, Relayed};
pub use engine::Engine;
pub use event::{Event, Outcome};
pub use fetch::Fetch;
pub use freshness::Freshness;
pub use health::Health;
pub use limit::LimitStatement;
pub use load::{Load, LoadTable};
pub use order::OrderReport;
pub use pace::{Pace, Table as PaceTable};
pub use placement::{Candidate, Choice, Helper, Placement};
pub use planner_message::{Denial, Grant, PlannerMessage, Query};
pub use policy::Policy;
pub use prompt::{MAX_PARTS, PartId, PartIds, Prefix, SizedPart, SizedParts};
pub use reach::{Path, Reach};
pub use reducer::{Reducer, Settings};
pub use request::{Id, Request, Tokens};
pub use retained::{Holdings, MAX_STATEMENTS, Prompt, Retained, RetainedStatement, Saving};
pub use topology::Peer;
pub use window::SlidingWindow;
