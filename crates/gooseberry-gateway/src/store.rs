//! Client of the platform's store, with one connection that is reused between calls.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use platform::store::{self, Rows, StoreError, Table};
use thiserror::Error;
use tokio::sync::watch;

use crate::context::Context;
use crate::link::Link;

/// Maximum size of a response; the store returns pages of at most 1 MB of rows, in base64.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Time limit for opening a connection to the store.
const CONNECT_TIMEOUT: Millis = Millis(500);

/// The reason why a call to the store failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection can be opened.
    #[error("cannot connect to the store: {0}")]
    Connect(std::io::Error),
    /// The connection was lost before the response; a write may have been done.
    #[error("the connection to the store was lost before it answered")]
    Broken,
    /// No response arrived within the time limit; a write may have been done, or may still be.
    #[error("the store did not answer within the time limit")]
    TimedOut,
    /// The store answered with an error or with a malformed response.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl CallError {
    /// The label value of the error in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Connect(_) => "unreachable",
            Self::Broken => "broken",
            Self::TimedOut => "silent",
            Self::Store(StoreError::Compacted) => "compacted",
            Self::Store(StoreError::Restored) => "restored",
            Self::Store(StoreError::Refused(_)) => "refused",
            Self::Store(StoreError::Malformed(_)) => "malformed",
        }
    }
}

/// A client of the store; each task has its own.
pub struct Store {
    ctx: Arc<Context>,
    addr: watch::Receiver<SocketAddr>,
    link: Option<Link>,
}

impl Store {
    /// Connects with the first call. A new address takes effect with the next connection.
    pub fn new(ctx: Arc<Context>, addr: watch::Receiver<SocketAddr>) -> Self {
        Self {
            ctx,
            addr,
            link: None,
        }
    }

    /// Reads the rows or polls for the changes at `path`.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn rows(&mut self, path: &str, limit: Millis) -> Result<Rows, CallError> {
        let (status, era, body) = self.call(Method::GET, path, Bytes::new(), limit).await?;
        let rows = if self.ctx.record_store_era(era) {
            store::decode(status, era, &body).map_err(CallError::from)
        } else {
            // An answer from before the store came back.
            Err(StoreError::Restored.into())
        };
        self.count_outcome(&rows);
        rows
    }

    /// Reads a table in full, each page within `limit`; the revision is that of the first page, so that the changes
    /// after it include those made while further pages were read.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]; [`StoreError::Restored`] also if the pages are of two eras.
    pub async fn table(&mut self, table: Table, limit: Millis) -> Result<Rows, CallError> {
        let mut all = self.rows(&store::read_path(table, None), limit).await?;
        while all.is_partial
            && let Some(last) = all.rows.last()
        {
            let path = store::read_path(table, Some(&last.key));
            let page = self.rows(&path, limit).await?;
            if store::era(page.revision) != store::era(all.revision) {
                return Err(StoreError::Restored.into());
            }
            all.is_partial = page.is_partial && !page.rows.is_empty();
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Writes a row, or removes it.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]; the row may have been written unless it is [`CallError::Store`].
    pub async fn write(
        &mut self,
        table: Table,
        key: &str,
        value: Option<&[u8]>,
        limit: Millis,
    ) -> Result<(), CallError> {
        let body = Bytes::from(store::write_body(table, key, value));
        let (status, era, _) = self
            .call(Method::POST, store::WRITE_PATH, body, limit)
            .await?;
        self.ctx.record_store_era(era);
        let written = store::decode_write(status).map_err(CallError::from);
        self.count_outcome(&written);
        written
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Millis,
    ) -> Result<(StatusCode, u64, Bytes), CallError> {
        let exchange = self.exchange(method, path, body);
        let result = match tokio::time::timeout(limit.duration(), exchange).await {
            Ok(result) => result,
            Err(_) => Err(CallError::TimedOut),
        };
        if result.is_err() {
            self.link = None;
            self.count_outcome(&result);
        }
        result
    }

    async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, u64, Bytes), CallError> {
        let addr = *self.addr.borrow_and_update();
        let mut link = match self.link.take().filter(|l| !l.is_closed()) {
            Some(link) => link,
            None => Link::open(addr, CONNECT_TIMEOUT)
                .await
                .map_err(CallError::Connect)?,
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(|_| CallError::Broken)?;
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = addr.to_string().parse() {
            headers.insert(HOST, host);
        }
        let response = link.fetch(request, MAX_RESPONSE_BYTES).await;
        let (parts, body) = response.ok_or(CallError::Broken)?;
        self.link = Some(link);
        Ok((parts.status, store::answer_era(&parts.headers), body))
    }

    fn count_outcome<T>(&self, result: &Result<T, CallError>) {
        let name = result.as_ref().err().map_or("answered", CallError::name);
        self.ctx.metrics.count_store_call(name);
    }
}
