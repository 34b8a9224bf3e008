//! What callers, targets and operators speak.

use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::{Announcement, Config, Dispatch, Request};

use crate::http;

/// A caller's request as the protocol reads it.
#[derive(Debug, Clone)]
pub struct ParsedRequest {
    /// What the decisions need.
    pub request: Request,
    /// Last event that the caller has, if it resumes a stream.
    pub resumed_after: Option<Arc<str>>,
}

/// What a target's answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It served the request.
    Served,
    /// It ran the request and failed.
    Error,
    /// It did not run the request.
    Full,
    /// It is not the target that was meant, and did not run the request.
    WrongTarget,
    /// The answer belongs to another request, or is none.
    Invalid,
}

/// A call to control.
#[derive(Debug, Clone)]
pub enum Call {
    /// A target announces itself.
    Announce(Announcement),
    /// A target has left.
    Withdraw {
        /// Its name.
        name: Arc<str>,
    },
    /// An operator publishes a configuration that was checked.
    Publish {
        /// Version that the operator gave.
        version: u64,
    },
    /// An operator reads the configuration.
    Read,
    /// An operator takes a zone out, or brings it back.
    Evacuate {
        /// The zone.
        zone: Arc<str>,
        /// Whether it is taken out.
        out: bool,
    },
    /// The call is refused for good.
    Refused {
        /// HTTP status.
        status: u16,
        /// What is wrong.
        reason: String,
    },
}

/// An order to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Path.
    pub path: &'static str,
    /// JSON body.
    pub body: Vec<u8>,
}

/// What callers, targets and operators speak. An implementation only translates.
pub trait Protocol: Send + Sync + 'static {
    /// Reads a caller's request. An error is answered with 400.
    fn parse_request(&self, head: &http::Request) -> Result<ParsedRequest, &'static str>;

    /// Appends the header lines of a request to a target, without those of its body.
    fn write_target_headers(
        &self,
        head: &http::Request,
        dispatch: &Dispatch,
        resumed_after: Option<&str>,
        out: &mut Vec<u8>,
    );

    /// Returns the order that holds memory of a target, or renews its lease. It is done if the answer is 200.
    fn reserve(&self, name: &str, tokens: u64, lease: Duration) -> Order;

    /// Returns the order that gives memory back.
    fn release(&self, name: &str) -> Order;

    /// Judges a target's answer to the request with this name.
    fn classify_response(&self, head: &http::Response, name: &str) -> Verdict;

    /// Returns whether a header of a target's answer goes to the caller.
    fn returns_header(&self, name: &str) -> bool;

    /// Returns header lines for an answer of our own to the request with this name.
    fn local_response_headers(&self, name: Option<&str>, retry_after: Option<Duration>) -> String;

    /// Decodes and checks a configuration.
    fn decode_config(&self, document: &[u8]) -> Result<Config, String>;

    /// Reads a call to control.
    fn parse_call(&self, method: &str, path: &str, body: &[u8]) -> Call;
}
