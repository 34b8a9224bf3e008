//! HTTP client for the admin ports of control and entry VMs.

use std::time::Duration;

use awc::Client as Http;
use awc::error::{ConnectError, SendRequestError};
use awc::http::header::HeaderValue;
use awc::http::{Method, StatusCode};
use serde_json::Value;

use crate::Result;
use crate::options::Server;
use crate::report::{Exit, Failure};

/// Time limit of one call. A control replica answers within 5 s that a change was not accepted; a limit below
/// that would lose this definite answer and leave the outcome unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum response size, in bytes. The largest response is a configuration.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Environment variable that contains the operator key.
const KEY_VARIABLE: &str = "PRIMROSEPIN_KEY";

/// Client for a list of admin addresses that accept the same operator key.
#[derive(Clone)]
pub struct Client {
    http: Http,
    addresses: Vec<String>,
    authorization: HeaderValue,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The key must not reach logs.
        f.debug_struct("Client")
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}

/// Response of an admin port.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// JSON body; null if the body is not JSON.
    pub body: Value,
}

impl Response {
    /// Returns the error code in the body, or an empty string.
    pub fn code(&self) -> &str {
        let error = &self.body["error"];
        error["code"].as_str().unwrap_or_default()
    }

    /// Returns the error message in the body, or the HTTP status if there is none.
    pub fn message(&self) -> String {
        let error = &self.body["error"];
        match error["message"].as_str() {
            Some(message) => message.to_owned(),
            None => format!("HTTP status {}", self.status),
        }
    }
}

/// Reason why a call returned no response.
#[derive(Debug)]
pub enum CallError {
    /// No connection could be opened, so the call was not sent.
    NotSent(String),
    /// The call failed after it may have reached the server.
    MayHaveArrived(String),
}

impl CallError {
    /// Returns the reason as text.
    pub fn reason(&self) -> &str {
        match self {
            Self::NotSent(reason) | Self::MayHaveArrived(reason) => reason,
        }
    }
}

impl Client {
    /// Creates a client for the control replicas of `server`.
    pub fn new(server: &Server) -> Result<Self> {
        if server.controls.is_empty() {
            return Err(Failure::usage(
                "no control address given: use --control ADDR or set PRIMROSEPIN_CONTROL",
            ));
        }
        Self::with_addresses(server, &server.controls)
    }

    /// Creates a client for other admin addresses, with the key of `server`.
    pub fn with_addresses(server: &Server, addresses: &[String]) -> Result<Self> {
        for address in addresses {
            let valid = address.rsplit_once(':').is_some_and(|(host, port)| {
                !host.is_empty() && !host.contains('/') && port.parse::<u16>().is_ok()
            });
            if !valid {
                return Err(Failure::usage(format!(
                    "invalid address {address:?}: expected HOST:PORT, such as 127.0.0.1:9000"
                )));
            }
        }
        let mut authorization = HeaderValue::from_str(&format!("Bearer {}", read_key(server)?))
            // The error is not included because the message must not contain the key.
            .map_err(|_error| {
                Failure::usage(
                    "the operator key contains characters that are not allowed in an HTTP header",
                )
            })?;
        authorization.set_sensitive(true);
        let http = Http::builder()
            .timeout(CALL_TIMEOUT)
            .disable_redirects()
            .finish();
        Ok(Self {
            http,
            addresses: addresses.to_vec(),
            authorization,
        })
    }

    /// Returns the admin addresses, in the order in which they are tried.
    pub fn addresses(&self) -> &[String] {
        &self.addresses
    }

    /// Sends a request to `address` and reads the response, without retries.
    pub async fn call(
        &self,
        address: &str,
        method: &Method,
        path: &str,
        body: Option<&Value>,
    ) -> std::result::Result<Response, CallError> {
        // Each call opens its own connection, because a dead pooled connection would delay the next call.
        let request = self
            .http
            .request(method.clone(), format!("http://{address}{path}"))
            .insert_header(("authorization", self.authorization.clone()))
            .timeout(CALL_TIMEOUT)
            .force_close();
        let sent = match body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut response = sent.await.map_err(call_error)?;
        let status = response.status();
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| {
                CallError::MayHaveArrived(format!("the response is incomplete: {error}"))
            })?;
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Ok(Response { status, body })
    }

    /// Sends a GET request to each address in turn and returns the first successful JSON body. Fails at once if
    /// the operator key is not accepted.
    pub async fn get(&self, path: &str) -> Result<Value> {
        let mut reasons = Vec::new();
        for address in &self.addresses {
            match self.call(address, &Method::GET, path, None).await {
                Ok(response) if response.status.is_success() && response.body.is_object() => {
                    return Ok(response.body);
                }
                Ok(response) if is_key_refused(response.status) => {
                    return Err(Failure::message(
                        Exit::Refused,
                        key_refused_message(address),
                    ));
                }
                Ok(response) => reasons.push(format!("{address}: {}", response.message())),
                Err(error) => reasons.push(format!("{address}: {}", error.reason())),
            }
        }
        Err(Failure::message(
            Exit::Refused,
            format!(
                "no control replica answered GET {path} successfully:\n  {}\nCheck the addresses, and that \
                 primrosepin-control runs there.",
                reasons.join("\n  ")
            ),
        ))
    }
}

/// Returns whether the status means that the server does not accept the operator key.
pub fn is_key_refused(status: StatusCode) -> bool {
    status == StatusCode::UNAUTHORIZED || status == StatusCode::FORBIDDEN
}

/// Returns the error message for an operator key that is not accepted.
pub fn key_refused_message(address: &str) -> String {
    format!(
        "{address} does not accept the operator key. Its SHA-256 must be listed in \
         \"operator_keys_sha256\" of the settings there."
    )
}

fn call_error(error: SendRequestError) -> CallError {
    match error {
        // awc returns this variant for a connection that closed before the response, after the request was
        // written.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            CallError::MayHaveArrived("the connection closed without a response".into())
        }
        SendRequestError::Connect(error) => CallError::NotSent(error.to_string()),
        SendRequestError::Url(error) => CallError::NotSent(error.to_string()),
        other => CallError::MayHaveArrived(other.to_string()),
    }
}

/// Reads the operator key from the key file or the environment.
fn read_key(server: &Server) -> Result<String> {
    let key = match &server.key_file {
        Some(path) => std::fs::read_to_string(path).map_err(|error| {
            Failure::usage(format!(
                "cannot read the key file {}: {error}",
                path.display()
            ))
        })?,
        None => std::env::var(KEY_VARIABLE).unwrap_or_default(),
    };
    let key = key.trim();
    if key.is_empty() {
        return Err(Failure::usage(format!(
            "no operator key given: use --key-file FILE or set {KEY_VARIABLE}"
        )));
    }
    Ok(key.to_owned())
}
