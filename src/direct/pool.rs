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
use super::connection::NoAnswer;

/// Pool of idle connections, grouped by target.
pub(super) struct Pool<K> {
    idle: RefCell<HashMap<K, Vec<Idle>>>,
}

/// Idle connection with its idle timeout.
struct Idle {
    connection: Connection,
    since: Instant,
    max: Duration,
}

/// Target of a request, and the limits for its connection.
pub(super) struct Target<K> {
    pub(super) key: K,
    pub(super) address: SocketAddr,
    /// Timeout for connecting, in milliseconds.
    pub(super) connect_ms: u64,
    /// Maximum idle time of a connection that is reused.
    pub(super) idle_max: Duration,
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

    /// Sends the request that `write` builds and reads the head of the answer. Reuses an idle
    /// connection if there is one that the other end has not closed.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been sent.
    pub(super) async fn send<W>(
        &self,
        target: &Target<K>,
        write: W,
    ) -> Result<(Connection, Response<Incoming>), NoAnswer>
    where
        W: Fn() -> Request<Full<Bytes>>,
    {
        loop {
            let kept = self.take(target);
            let is_new = kept.is_none();
            let mut connection = match kept {
                Some(connection) => connection,
                None => connect(target.address, target.connect_ms).await?,
            };
            match connection.send(write()).await {
                Ok(answer) => return Ok((connection, answer)),
                Err(NoAnswer::NotSent) if !is_new => {}
                Err(err) => return Err(err),
            }
        }
    }

    /// Returns a connection to the pool for at most `max`, unless `keep_max` connections of the
    /// target are idle already.
    pub(super) fn keep(&self, key: K, connection: Connection, max: Duration, keep_max: usize) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(key).or_default();
        if kept.len() < keep_max {
            kept.push(Idle {
                connection,
                since: Instant::now(),
                max,
            });
        }
    }

    /// Removes connections that exceeded their idle timeout or whose target is no longer known.
    pub(super) fn tidy<F>(&self, is_known: F)
    where
        F: Fn(K) -> bool,
    {
        self.idle.borrow_mut().retain(|key, idle| {
            idle.retain(Idle::is_usable);
            !idle.is_empty() && is_known(*key)
        });
    }

    fn take(&self, target: &Target<K>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&target.key)?;
        while let Some(idle) = kept.pop() {
            if idle.is_usable() && idle.since.elapsed() <= target.idle_max {
                return Some(idle.connection);
            }
        }
        None
    }
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.connection.is_open() && self.since.elapsed() < self.max
    }
}

async fn connect(address: SocketAddr, limit_ms: u64) -> Result<Connection, NoAnswer> {
    Connection::open(address, limit_ms, false)
        .await
        .map_err(|why| {
            log::debug!(address = address.to_string(), why = why.as_str(); "can't connect");
            NoAnswer::NotSent
        })
}
