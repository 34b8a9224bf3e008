//! HTTP calls to admin ports.

use std::time::Duration;

use awc::Client as Http;
use awc::error::{ConnectError, SendRequestError};
use awc::http::header::HeaderValue;
use awc::http::{Method, StatusCode};
use serde_json::Value;

use crate::Result;
use crate::options::Server;
use crate::report::{Exit, Stop};

/// Time for one call. A control replica answers after 5 s at the latest that a change is not accepted;
/// a shorter time here would turn this certain answer into a lost one.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Largest response, bytes: a configuration, with some room.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Environment variable with the operator key.
const KEY_VARIABLE: &str = "PRIMROSEPIN_KEY";

/// Addresses and key for calls.
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

/// A response.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Body; null if it is not JSON.
    pub body: Value,
}

impl Response {
    /// Returns the error code of the body, empty if there is none.
    pub fn code(&self) -> &str {
        let error = &self.body["error"];
        error["code"].as_str().unwrap_or_default()
    }

    /// Returns the error message of the body, or the HTTP status if there is none.
    pub fn message(&self) -> String {
        let error = &self.body["error"];
        match error["message"].as_str() {
            Some(message) => message.to_owned(),
            None => format!("HTTP status {}", self.status),
        }
    }
}

/// Why a call has no response.
#[derive(Debug)]
pub enum Lost {
    /// No connection: the call was not sent.
    NotSent(String),
    /// The call may have arrived.
    MayHaveArrived(String),
}

impl Lost {
    /// Returns the reason.
    pub fn reason(&self) -> &str {
        match self {
            Self::NotSent(reason) | Self::MayHaveArrived(reason) => reason,
        }
    }
}

impl Client {
    /// Creates a client for the control replicas.
    pub fn new(server: &Server) -> Result<Self> {
        if server.controls.is_empty() {
            return Err(Stop::usage(
                "expected --control ADDR, or PRIMROSEPIN_CONTROL with one or more addresses",
            ));
        }
        Self::with_addresses(server, &server.controls)
    }

    /// Creates a client for other admin ports with the same key.
    pub fn with_addresses(server: &Server, addresses: &[String]) -> Result<Self> {
        for address in addresses {
            let valid = address.rsplit_once(':').is_some_and(|(host, port)| {
                !host.is_empty() && !host.contains('/') && port.parse::<u16>().is_ok()
            });
            if !valid {
                return Err(Stop::usage(format!(
                    "{address:?} is not an address; expected HOST:PORT, such as 127.0.0.1:9000"
                )));
            }
        }
        let mut authorization = HeaderValue::from_str(&format!("Bearer {}", key(server)?))
            // The key stays out of the message.
            .map_err(|_error| {
                Stop::usage("the operator key has characters that HTTP does not allow")
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

    /// Returns the addresses.
    pub fn addresses(&self) -> &[String] {
        &self.addresses
    }

    /// Sends one call to one address.
    pub async fn call(
        &self,
        address: &str,
        method: &Method,
        path: &str,
        body: Option<&Value>,
    ) -> std::result::Result<Response, Lost> {
        // A new connection for each call: one that went silent must not delay the next call.
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
        let mut response = sent.await.map_err(lost)?;
        let status = response.status();
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| Lost::MayHaveArrived(format!("the answer broke off: {error}")))?;
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Ok(Response { status, body })
    }

    /// Reads from the first address that answers.
    pub async fn get(&self, path: &str) -> Result<Value> {
        let mut reasons = Vec::new();
        for address in &self.addresses {
            match self.call(address, &Method::GET, path, None).await {
                Ok(response) if response.status.is_success() && response.body.is_object() => {
                    return Ok(response.body);
                }
                Ok(response) if is_key_refused(response.status) => {
                    return Err(Stop::message(Exit::Refused, key_refused(address)));
                }
                Ok(response) => reasons.push(format!("{address}: {}", response.message())),
                Err(lost) => reasons.push(format!("{address}: {}", lost.reason())),
            }
        }
        Err(Stop::message(
            Exit::Refused,
            format!(
                "no control replica answered {path}:\n  {}\nCheck the addresses and that \
                 primrosepin-control runs there.",
                reasons.join("\n  ")
            ),
        ))
    }
}

/// Returns whether the server does not accept the operator key.
pub fn is_key_refused(status: StatusCode) -> bool {
    status == StatusCode::UNAUTHORIZED || status == StatusCode::FORBIDDEN
}

/// Returns the message for a refused key.
pub fn key_refused(address: &str) -> String {
    format!(
        "{address} does not accept the operator key. Its SHA-256 must be in \"operator_keys_sha256\" \
         of the settings there."
    )
}

fn lost(error: SendRequestError) -> Lost {
    match error {
        // awc reports a connection that ended without a response under this name, after the request
        // was written.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Lost::MayHaveArrived("the connection ended without a response".into())
        }
        SendRequestError::Connect(error) => Lost::NotSent(error.to_string()),
        SendRequestError::Url(error) => Lost::NotSent(error.to_string()),
        other => Lost::MayHaveArrived(other.to_string()),
    }
}

/// Reads the operator key.
fn key(server: &Server) -> Result<String> {
    let key = match &server.key_file {
        Some(path) => std::fs::read_to_string(path).map_err(|error| {
            Stop::usage(format!(
                "cannot read the key file {}: {error}",
                path.display()
            ))
        })?,
        None => std::env::var(KEY_VARIABLE).unwrap_or_default(),
    };
    let key = key.trim();
    if key.is_empty() {
        return Err(Stop::usage(format!(
            "expected an operator key: --key-file FILE or {KEY_VARIABLE}"
        )));
    }
    Ok(key.to_owned())
}
