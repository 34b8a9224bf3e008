//! The reducer of an entry VM.

mod cost;
mod counters;
pub mod effect;
pub mod event;
mod reducer;
mod request;
mod settings;
mod target;

pub use counters::Counters;
pub use reducer::Reducer;
pub use settings::{Policy, Settings};
pub use target::View;
