//! HTTP client of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use web::client::{CallError, call, get};

use crate::wire::{Host, HostList, Outcome, Read, Row, Scan, Transact};

/// Address of the platform and time limit of its calls.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// Address of the platform's HTTP interface.
    pub addr: SocketAddr,
    /// Time limit of one call, connection included.
    pub limit: Duration,
}

impl Platform {
    /// Runs a transaction on the table.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]; unless [`CallError::is_unsent`] holds, the transaction may have taken
    /// effect or may still do so.
    pub async fn transact(&self, body: &Transact) -> Result<Outcome, CallError> {
        self.post("/v1/table/transact", body).await
    }

    /// Reads one row per key, in order of `keys`; `None` for a key without a row.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, CallError> {
        self.post("/v1/table/read", &Read { keys }).await
    }

    /// Reads rows whose keys share a prefix, in order of key.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn scan(&self, body: &Scan) -> Result<Vec<Row>, CallError> {
        self.post("/v1/table/scan", body).await
    }

    /// Writes an object, replacing one of the same name.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]; unless [`CallError::is_unsent`] holds, the object may have been
    /// written.
    pub async fn put_object(&self, name: &str, value: &Value) -> Result<(), CallError> {
        let path = format!("/v1/objects/{name}");
        call(self.addr, Method::PUT, &path, value, self.limit).await
    }

    /// Reads an object; `None` if there is none of this name.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn object(&self, name: &str) -> Result<Option<Value>, CallError> {
        get(self.addr, &format!("/v1/objects/{name}"), self.limit).await
    }

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn delete_object(&self, name: &str) -> Result<(), CallError> {
        let path = format!("/v1/objects/{name}");
        call(self.addr, Method::DELETE, &path, &(), self.limit).await
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn hosts(&self) -> Result<HostList, CallError> {
        get(self.addr, "/v1/hosts", self.limit).await
    }

    /// Reads the host list; `None` if it is still at `revision`.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn hosts_after(&self, revision: u64) -> Result<Option<HostList>, CallError> {
        let path = format!("/v1/hosts?after={revision}");
        get(self.addr, &path, self.limit).await
    }

    /// Adds or replaces an entry of the host list.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn put_host(&self, host: &Host) -> Result<(), CallError> {
        self.post("/v1/hosts", host).await
    }

    async fn post<Q: serde::Serialize, A: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<A, CallError> {
        call(self.addr, Method::POST, path, body, self.limit).await
    }
}
