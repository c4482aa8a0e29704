//! Pool of idle connections.
//!
//! A faulty server may send an answer twice. The copy arrives in place of a later answer on the
//! same connection, and an answer names only the request, not the attempt at it. A connection is
//! therefore not reused for another attempt at a request that it has carried before.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hemlockrouter_edge::CallerRequest;
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

/// Connection with the requests that it has carried.
pub(super) struct PooledConnection {
    connection: Connection,
    /// Requests that the connection has carried and that may not have ended.
    carried_requests: Vec<Weak<CallerRequest>>,
}

/// Idle connection with its idle timeout.
struct IdleConnection {
    pooled: PooledConnection,
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
    /// The caller's request, if the same request may be sent to the target again.
    pub(super) request: Option<Rc<CallerRequest>>,
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
    /// connection if there is one that the other end has not closed and that has not carried the
    /// same request before.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been sent.
    pub(super) async fn send<W>(
        &self,
        target: &CallTarget<K>,
        build: W,
    ) -> Result<(PooledConnection, Response<Incoming>), SendError>
    where
        W: Fn() -> Request<Full<Bytes>>,
    {
        loop {
            let idle = self.take_idle(target);
            let is_new = idle.is_none();
            let mut pooled = match idle {
                Some(pooled) => pooled,
                None => connect(target.address, target.connect_timeout_ms).await?,
            };
            pooled.record_request(target.request.as_ref());
            match pooled.connection.send(build()).await {
                Ok(answer) => return Ok((pooled, answer)),
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
        pooled: PooledConnection,
        idle_timeout: Duration,
        idle_connections_max: usize,
    ) {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(key).or_default();
        if idle.len() < idle_connections_max {
            idle.push(IdleConnection {
                pooled,
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

    /// Takes the connection that was used last and may be used for the target's request. Drops
    /// those that are no longer usable, and leaves those that may be used for other requests.
    fn take_idle(&self, target: &CallTarget<K>) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&target.key)?;
        idle.retain(IdleConnection::is_usable);
        let position = idle.iter().rposition(|idle| idle.fits(target))?;
        Some(idle.remove(position).pooled)
    }
}

impl PooledConnection {
    /// Waits until the last answer was read, and returns whether the connection can send another
    /// request.
    pub(super) async fn is_ready(&mut self) -> bool {
        self.connection.is_ready().await
    }

    fn has_carried(&self, request: &Rc<CallerRequest>) -> bool {
        let mut carried = self.carried_requests.iter();
        carried.any(|carried| std::ptr::eq(carried.as_ptr(), Rc::as_ptr(request)))
    }

    /// Records a request that is sent, and forgets those that have ended.
    fn record_request(&mut self, request: Option<&Rc<CallerRequest>>) {
        self.carried_requests
            .retain(|request| request.strong_count() > 0);
        self.carried_requests.extend(request.map(Rc::downgrade));
    }
}

impl IdleConnection {
    /// Returns whether the connection was used recently enough and has not carried the same request.
    fn fits<K>(&self, target: &CallTarget<K>) -> bool {
        let request = target.request.as_ref();
        self.idle_since.elapsed() <= target.idle_time_max
            && !request.is_some_and(|request| self.pooled.has_carried(request))
    }

    fn is_usable(&self) -> bool {
        self.pooled.connection.is_open() && self.idle_since.elapsed() < self.idle_timeout
    }
}

async fn connect(address: SocketAddr, timeout_ms: u64) -> Result<PooledConnection, SendError> {
    match Connection::open(address, timeout_ms, false).await {
        Ok(connection) => Ok(PooledConnection {
            connection,
            carried_requests: Vec::new(),
        }),
        Err(reason) => {
            log::debug!(address = address.to_string(), why = reason.as_str(); "can't connect");
            Err(SendError::NotSent)
        }
    }
}
