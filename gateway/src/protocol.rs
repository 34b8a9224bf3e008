//! Translation of the formats that callers, targets and operators use.

use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::{Announcement, Config, Dispatch, Notice, Request};
use smallvec::SmallVec;

use crate::http;

/// A caller's request, decoded.
#[derive(Debug, Clone)]
pub struct ParsedRequest {
    /// Input of the scheduling decisions.
    pub request: Request,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub resumed_after: Option<Arc<str>>,
}

/// Meaning of a target's response for its attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The target served the request.
    Served,
    /// The target ran the request and reports a failure.
    Error,
    /// The target did not run the request, for lack of capacity.
    Full,
    /// Another target has taken over the address; it did not run the request.
    WrongTarget,
    /// The response belongs to another request, or is not a valid response of a target.
    Invalid,
}

/// An API call to a control VM.
#[derive(Debug, Clone)]
pub enum Call {
    /// A target announces its state.
    Announce(Announcement),
    /// A target has left.
    Withdraw {
        /// Name of the target.
        name: Arc<str>,
    },
    /// An operator publishes a configuration, which has passed validation.
    Publish {
        /// Version given by the operator.
        version: u64,
    },
    /// An operator reads the configuration.
    Read,
    /// An operator takes a zone out of service, or puts it back.
    Evacuate {
        /// Name of the zone.
        zone: Arc<str>,
        /// `true` to take it out of service.
        out: bool,
    },
    /// The call is invalid; repeating it does not help.
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Explanation in the body of the response.
        reason: String,
    },
}

/// A `POST` request that orders a target to reserve or release memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Request path.
    pub path: &'static str,
    /// JSON body.
    pub body: Vec<u8>,
}

/// Translates the formats of callers, targets and operators. Implementations hold no state and decide
/// nothing.
pub trait Protocol: Send + Sync + 'static {
    /// Decodes a caller's request. An error is sent to the caller as the body of a 400 response.
    fn parse_request(
        &self,
        head: &http::Request,
        body: &[u8],
    ) -> Result<ParsedRequest, &'static str>;

    /// Appends the header lines of the request to a target, except those that frame the body.
    fn write_target_headers(
        &self,
        head: &http::Request,
        dispatch: &Dispatch,
        resumed_after: Option<&str>,
        out: &mut Vec<u8>,
    );

    /// Returns the order that reserves memory of a target, or renews the lease. Status 200 means success.
    fn reserve(&self, name: &str, tokens: u64, lease: Duration) -> Order;

    /// Returns the order that releases reserved memory.
    fn release(&self, name: &str) -> Order;

    /// Classifies a target's response to the request with this id. `reused` tells that the connection has
    /// carried another request before, so that a response that does not name its request may belong to
    /// that one.
    fn classify_response(&self, head: &http::Response, request_id: &str, reused: bool) -> Verdict;

    /// Returns the limit that a target's response names: requests a second that it takes from all VMs together.
    fn named_limit(&self, head: &http::Response) -> Option<f64>;

    /// Returns what a target's response says about new work from this VM.
    fn notices(&self, head: &http::Response) -> SmallVec<[Notice; 2]>;

    /// Returns whether a header of a target's response is forwarded to the caller.
    fn returns_header(&self, name: &str) -> bool;

    /// Returns the header lines of a response that the entry VM generates itself. `request_id` is `None`
    /// if the request could not be decoded.
    fn local_response_headers(
        &self,
        request_id: Option<&str>,
        retry_after: Option<Duration>,
    ) -> String;

    /// Decodes and validates a configuration document.
    fn decode_config(&self, document: &[u8]) -> Result<Config, String>;

    /// Returns whether an API call reads its body. The body of another one is not kept.
    fn takes_body(&self, method: &str, path: &str) -> bool;

    /// Decodes an API call to a control VM.
    fn parse_call(&self, method: &str, path: &str, body: &[u8]) -> Call;
}
