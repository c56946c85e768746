//! Client of the operator endpoints of agents.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use peer::operator::{CurrentConfig, Difference, HostState};
use profiles::change::{Proposal, Revision};
use profiles::commit::Outcome;
use profiles::document::Document;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use web::client::CallError;

use crate::options::Options;
use crate::outcome::CommandError;

/// Time limit of a call; longer than an agent's time limit for a proposal.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of attempts to send a proposal without a response; its operation id makes retries safe.
const MAX_ATTEMPTS: usize = 3;

/// Environment variable with the operator key.
const KEY_VARIABLE: &str = "GOOSEBERRY_KEY";

/// Client of one agent, with the operator key that it requires.
#[derive(Clone, Debug)]
pub struct Client {
    addr: SocketAddr,
    key: String,
}

impl Client {
    /// Creates a client for the agent and the key that the options name.
    ///
    /// # Errors
    ///
    /// `NoAgent`, `NoKey` or `Unreadable` (key file).
    pub fn new(options: &Options) -> Result<Self, CommandError> {
        let addr = options.agent.ok_or(CommandError::NoAgent)?;
        let key = match &options.key_file {
            Some(file) => std::fs::read_to_string(file).map_err(|cause| {
                let file = file.clone();
                CommandError::Unreadable { file, cause }
            })?,
            None => std::env::var(KEY_VARIABLE).map_err(|_| CommandError::NoKey)?,
        };
        let key = key.trim().to_owned();
        Ok(Self { addr, key })
    }

    /// Fetches the accepted configuration, or the agent's own copy if the platform is unavailable.
    ///
    /// # Errors
    ///
    /// `Call` or `Unauthorized`.
    pub async fn show(&self) -> Result<CurrentConfig, CommandError> {
        self.call(Method::GET, "/v1/config", &()).await
    }

    /// Fetches the latest accepted revisions.
    ///
    /// # Errors
    ///
    /// `Call` or `Unauthorized`.
    pub async fn history(&self) -> Result<Vec<Revision>, CommandError> {
        self.call(Method::GET, "/v1/config/history", &()).await
    }

    /// Fetches the changes from the accepted configuration to `desired`.
    ///
    /// # Errors
    ///
    /// `Call` or `Unauthorized`.
    pub async fn diff(&self, desired: &Document) -> Result<Difference, CommandError> {
        self.call(Method::POST, "/v1/config/diff", desired).await
    }

    /// Fetches the state of all listed entry hosts.
    ///
    /// # Errors
    ///
    /// `Call` or `Unauthorized`.
    pub async fn hosts(&self) -> Result<Vec<HostState>, CommandError> {
        self.call(Method::GET, "/v1/hosts", &()).await
    }

    /// Sends a proposal and retries it if no response comes: a retry returns the outcome of an
    /// operation that was already accepted.
    ///
    /// Returns `Unknown` if a proposal that may have been received gets no conclusive response.
    ///
    /// # Errors
    ///
    /// `Unauthorized`; `Call` if the proposal was certainly not received or a response cannot be
    /// decoded.
    pub async fn apply(&self, proposal: &Proposal) -> Result<Outcome, CommandError> {
        let mut may_be_received = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.send(Method::POST, "/v1/config/apply", proposal).await {
                Ok((StatusCode::UNAUTHORIZED, body)) => {
                    return Err(CommandError::Unauthorized(message(&body)));
                }
                Ok((_, body)) => match serde_json::from_str(&body) {
                    Ok(Outcome::Unavailable) if may_be_received => {}
                    Ok(outcome) => return Ok(outcome),
                    Err(_) => return Err(self.unexpected(body)),
                },
                Err(e) if e.is_unsent() && !may_be_received => return Err(e.into()),
                Err(_) => may_be_received = true,
            }
        }
        let operation = proposal.operation.clone();
        Ok(Outcome::Unknown { operation })
    }

    /// Calls the agent of `host`, looked up through this one.
    ///
    /// # Errors
    ///
    /// `NoHost`, `Call` or `Unauthorized`.
    pub async fn call_host(
        &self,
        host: &str,
        method: Method,
        path: &str,
    ) -> Result<Value, CommandError> {
        let hosts = self.hosts().await?;
        let found = hosts.into_iter().find(|h| h.host.as_str() == host);
        let about = found.and_then(|h| h.about);
        let Some(about) = about else {
            return Err(CommandError::NoHost(host.to_owned()));
        };
        let client = Self {
            addr: about.admin,
            key: self.key.clone(),
        };
        client.call(method, path, &()).await
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &Q,
    ) -> Result<A, CommandError> {
        let (status, text) = self.send(method, path, body).await?;
        if status == StatusCode::UNAUTHORIZED {
            return Err(CommandError::Unauthorized(message(&text)));
        }
        if !status.is_success() {
            return Err(CommandError::Call(CallError::Status {
                addr: self.addr,
                status,
                body: message(&text),
            }));
        }
        serde_json::from_str(&text).map_err(|_| self.unexpected(text))
    }

    async fn send<Q: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &Q,
    ) -> Result<(StatusCode, String), CallError> {
        let mut request = web::client::json_request(self.addr, method, path, body);
        if let Ok(value) = format!("Bearer {}", self.key).parse() {
            request.headers_mut().insert("authorization", value);
        }
        let response = web::client::send(self.addr, request, CALL_TIMEOUT).await?;
        let status = response.status();
        match web::client::read_whole(self.addr, response).await {
            Ok(bytes) => Ok((status, String::from_utf8_lossy(&bytes).into_owned())),
            Err(CallError::Status { status, body, .. }) => Ok((status, body)),
            Err(e) => Err(e),
        }
    }

    fn unexpected(&self, cause: String) -> CommandError {
        let addr = self.addr;
        CommandError::Call(CallError::Decode { addr, cause })
    }
}

/// The message in a JSON error body, or the entire body.
fn message(body: &str) -> String {
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    match value["message"].as_str() {
        Some(message) => message.to_owned(),
        None => body.to_owned(),
    }
}
