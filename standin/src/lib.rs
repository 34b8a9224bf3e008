//! Stand-in model engine and plain service with their own records and faults on request.
//!
//! [`Engine`] speaks the engines' protocol over HTTP/1.1 and takes the time that a
//! continuously batching engine would take: chunked prefill by priority, one token for each
//! running stream in each step, limited KV memory and prefix cache. [`Plain`] counts the runs of
//! each call. Both keep [`record::Record`]s that do not depend on what the caller believes, so
//! that tests can compare the two.
//!
//! [`passes::Engine`] is a model of an engine that works in passes, in virtual time: experiments that need
//! no network and stand-ins of other protocols share it.
//!
//! Both servers run on the actix runtime from which they are started; the handles can be sent to other
//! threads.

mod announcer;
pub mod answer;
pub mod engine;
pub mod fault;
pub mod passes;
pub mod plain;
pub mod record;
mod respond;
mod server;
mod time;

pub use engine::Engine;
pub use fault::Fault;
pub use plain::Plain;
pub use record::Record;
