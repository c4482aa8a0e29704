//! Pool of idle connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;

use super::connection::Connection;
use super::connection::SendError;

/// Pool of idle connections, grouped by target.
pub(super) struct Pool<K> {
    idle: RefCell<HashMap<K, Vec<IdleConnection>>>,
}

/// Idle connection with its idle timeout.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    idle_timeout: Duration,
}

/// Target of a request, and the limits for its connection.
pub(super) struct CallTarget<K> {
    pub(super) key: K,
    pub(super) address: SocketAddr,
    /// Timeout for connecting, in milliseconds.
    pub(super) connect_timeout_ms: u64,
    /// Maximum idle time of a connection that is reused.
    pub(super) idle_time_max: Duration,
}

impl<K> Pool<K>
where
    K: Copy + Eq + Hash,
{
    pub(super) fn new() -> Pool<K> {
        Pool {
            idle: RefCell::default(),
        }
    }

    /// Sends the request that `build` builds and reads the head of the answer. Reuses an idle
    /// connection if there is one that the other end has not closed.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been sent.
    pub(super) async fn send<W>(
        &self,
        target: &CallTarget<K>,
        build: W,
    ) -> Result<(Connection, Response<Incoming>), SendError>
    where
        W: Fn() -> Request<Full<Bytes>>,
    {
        loop {
            let pooled = self.take_idle(target);
            let is_new = pooled.is_none();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => connect(target.address, target.connect_timeout_ms).await?,
            };
            match connection.send(build()).await {
                Ok(answer) => return Ok((connection, answer)),
                Err(SendError::NotSent) if !is_new => {}
                Err(err) => return Err(err),
            }
        }
    }

    /// Returns a connection to the pool for at most `idle_timeout`, unless `idle_connections_max`
    /// connections of the target are idle already.
    pub(super) fn put_back(
        &self,
        key: K,
        connection: Connection,
        idle_timeout: Duration,
        idle_connections_max: usize,
    ) {
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(key).or_default();
        if pooled.len() < idle_connections_max {
            pooled.push(IdleConnection {
                connection,
                idle_since: Instant::now(),
                idle_timeout,
            });
        }
    }

    /// Removes connections that exceeded their idle timeout or whose target is no longer known.
    pub(super) fn close_stale<F>(&self, is_known: F)
    where
        F: Fn(K) -> bool,
    {
        self.idle.borrow_mut().retain(|key, idle| {
            idle.retain(IdleConnection::is_usable);
            !idle.is_empty() && is_known(*key)
        });
    }

    fn take_idle(&self, target: &CallTarget<K>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(&target.key)?;
        while let Some(idle) = pooled.pop() {
            if idle.is_usable() && idle.idle_since.elapsed() <= target.idle_time_max {
                return Some(idle.connection);
            }
        }
        None
    }
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.connection.is_open() && self.idle_since.elapsed() < self.idle_timeout
    }
}

async fn connect(address: SocketAddr, timeout_ms: u64) -> Result<Connection, SendError> {
    Connection::open(address, timeout_ms, false)
        .await
        .map_err(|reason| {
            log::debug!(address = address.to_string(), why = reason.as_str(); "can't connect");
            SendError::NotSent
        })
}
