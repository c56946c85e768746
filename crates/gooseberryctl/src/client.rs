//! Calls to the operators' entry of agents.

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

/// The longest wait for an answer; above the time for which an agent tries a proposal.
const LIMIT: Duration = Duration::from_secs(10);

/// How often a proposal is sent when its answer does not come; its operation id makes that safe.
const TRIES: usize = 3;

/// The variable that holds the operators' key.
const KEY: &str = "GOOSEBERRY_KEY";

/// An agent, and the key that it asks for.
#[derive(Clone, Debug)]
pub struct Client {
    addr: SocketAddr,
    key: String,
}

impl Client {
    /// The agent and the key that the options name.
    ///
    /// # Errors
    ///
    /// `NoAgent`, `NoKey` or `Unreadable`.
    pub fn new(options: &Options) -> Result<Self, CommandError> {
        let addr = options.agent.ok_or(CommandError::NoAgent)?;
        let key = match &options.key_file {
            Some(file) => std::fs::read_to_string(file).map_err(|cause| {
                let file = file.clone();
                CommandError::Unreadable { file, cause }
            })?,
            None => std::env::var(KEY).map_err(|_| CommandError::NoKey)?,
        };
        let key = key.trim().to_owned();
        Ok(Self { addr, key })
    }

    /// The accepted configuration.
    ///
    /// # Errors
    ///
    /// `Call` or `Unauthorized`.
    pub async fn show(&self) -> Result<CurrentConfig, CommandError> {
        self.call(Method::GET, "/v1/config", &()).await
    }

    /// The latest accepted changes.
    ///
    /// # Errors
    ///
    /// `Call` or `Unauthorized`.
    pub async fn history(&self) -> Result<Vec<Revision>, CommandError> {
        self.call(Method::GET, "/v1/config/history", &()).await
    }

    /// The changes that make `wanted` of the accepted configuration.
    ///
    /// # Errors
    ///
    /// `Call` or `Unauthorized`.
    pub async fn diff(&self, wanted: &Document) -> Result<Difference, CommandError> {
        self.call(Method::POST, "/v1/config/diff", wanted).await
    }

    /// All known entry hosts.
    ///
    /// # Errors
    ///
    /// `Call` or `Unauthorized`.
    pub async fn hosts(&self) -> Result<Vec<HostState>, CommandError> {
        self.call(Method::GET, "/v1/hosts", &()).await
    }

    /// Sends a proposal; one without an answer is read back by sending it again.
    ///
    /// # Errors
    ///
    /// `Unauthorized`, or `Call` if it was certainly not received.
    pub async fn apply(&self, proposal: &Proposal) -> Result<Outcome, CommandError> {
        let mut may_be_received = false;
        for _ in 0..TRIES {
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

    /// Calls the agent of another host.
    ///
    /// # Errors
    ///
    /// `NoHost`, `Call` or `Unauthorized`.
    pub async fn at_host(
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
        let response = web::client::send(self.addr, request, LIMIT).await?;
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

/// The message in an error body, or the whole body.
fn message(body: &str) -> String {
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    match value["message"].as_str() {
        Some(message) => message.to_owned(),
        None => body.to_owned(),
    }
}
