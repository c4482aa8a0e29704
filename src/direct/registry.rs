//! Follows the registry.
//!
//! Each feed is read whole and then followed by watches. Bounds on how fast a change is in force run
//! from the registry's acknowledgement, so a watch that has lost its other end must be noticed: its
//! connection is probed, and the call has a limit of its own.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use hemlockrouter_edge::Change;
use hemlockrouter_edge::Feed;
use hemlockrouter_edge::Protocol;
use hemlockrouter_edge::RegistryError;
use http::header;
use http::HeaderValue;
use http::Request;
use http_body_util::Full;
use log::info;
use log::warn;

use super::connection::within_ms;
use super::connection::Connection;
use super::connection::NoAnswer;
use super::node::Node;

/// How long a call that does not wait may take, in milliseconds.
const CALL_MS: u64 = 1_500;

/// How long connecting may take, in milliseconds. A watch may take much longer than this, so it
/// must not wait for a first packet that a broken link has dropped.
const CONNECT_MS: u64 = 1_000;

/// How long a watch waits for a change, in milliseconds.
const WATCH_MS: u64 = 15_000;

/// The pause after a failure before the registry is called again.
const PAUSE: Duration = Duration::from_millis(300);

/// The pause between two watches of what operators write.
const OPERATORS_PACE: Duration = Duration::from_millis(50);

/// The pause between two watches of upstreams, whose changes come in batches.
const UPSTREAMS_PACE: Duration = Duration::from_millis(400);

/// The pause between two watches of instances.
const INSTANCES_PACE: Duration = Duration::from_millis(1_000);

/// A connection to the registry.
pub(super) struct Registry {
    address: SocketAddr,
    connection: Option<Connection>,
}

/// Why a call failed.
#[derive(Debug, Display)]
pub(super) enum CallError {
    /// The registry did not do what it was asked for.
    #[display("{_0}")]
    Refused(RegistryError),
    /// There was no answer.
    #[display("no answer: {_0}")]
    NoAnswer(String),
}

impl Registry {
    pub(super) fn new(address: SocketAddr) -> Registry {
        Registry {
            address,
            connection: None,
        }
    }

    /// Makes a call and returns the status and body of the answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer within `limit_ms`.
    pub(super) async fn call(
        &mut self,
        request: Request<Bytes>,
        limit_ms: u64,
    ) -> Result<(u16, Bytes), CallError> {
        let answer = within_ms(limit_ms, self.try_call(request)).await;
        let answer = answer.unwrap_or_else(|| Err(String::from("the time is over")));
        if answer.is_err() {
            self.connection = None;
        }
        answer.map_err(CallError::NoAnswer)
    }

    async fn try_call(&mut self, request: Request<Bytes>) -> Result<(u16, Bytes), String> {
        let mut request = request.map(Full::new);
        let host = HeaderValue::try_from(self.address.to_string());
        let host = host.map_err(|err| err.to_string())?;
        request.headers_mut().insert(header::HOST, host);
        if !self.connection.as_ref().is_some_and(Connection::is_open) {
            let opened = within_ms(CONNECT_MS, Connection::open(self.address, true)).await;
            let opened = opened.ok_or_else(|| String::from("no connection in time"))?;
            self.connection = Some(opened.map_err(|err| err.to_string())?);
        }
        let connection = self.connection.as_mut().expect("it was just opened");
        match connection.call(request).await {
            Ok((head, body)) => Ok((head.status.as_u16(), body)),
            Err(NoAnswer::NotSent) => Err(String::from("the connection was closed")),
            Err(NoAnswer::Lost(why)) => Err(why),
        }
    }
}

/// Follows one feed for as long as the process runs.
pub(super) async fn follow(
    feed: Feed,
    address: SocketAddr,
    protocol: Rc<dyn Protocol>,
    node: Rc<Node>,
) {
    let mut follower = Follower {
        feed,
        registry: Registry::new(address),
        protocol,
        node,
        is_lost: false,
    };
    loop {
        match follower.read_and_watch().await {
            CallError::Refused(RegistryError::HistoryGone) => {
                info!(target: "belief", feed = feed.to_string(); "the history is gone; reading again");
            }
            err => {
                follower.lost(&err);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Follows one feed.
struct Follower {
    feed: Feed,
    registry: Registry,
    protocol: Rc<dyn Protocol>,
    node: Rc<Node>,
    is_lost: bool,
}

impl Follower {
    /// Reads the feed and follows it until a call fails.
    async fn read_and_watch(&mut self) -> CallError {
        let mut revision = match self.read().await {
            Ok(revision) => revision,
            Err(err) => return err,
        };
        loop {
            tokio::time::sleep(pace(self.feed)).await;
            match self.watch(revision).await {
                Ok(next) => revision = next,
                Err(err @ CallError::Refused(RegistryError::HistoryGone)) => return err,
                Err(err) => {
                    // The history may still be there when the registry is back.
                    self.lost(&err);
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// Reads the whole feed, and returns the revision to follow it from.
    async fn read(&mut self) -> Result<u64, CallError> {
        let mut changes: Vec<Change> = Vec::new();
        let mut revision = None;
        let mut from = None;
        loop {
            let request = self.protocol.write_read(self.feed, from.as_deref());
            let (status, body) = self.registry.call(request, CALL_MS).await?;
            let page = self.protocol.read_page(self.feed, status, &body);
            let page = page.map_err(CallError::Refused)?;
            changes.extend(page.changes);
            // Pages are no snapshot: what changed since the first one is read once more.
            let revision = *revision.get_or_insert(page.revision);
            from = page.next;
            if from.is_none() {
                self.regained();
                self.node.changed(self.feed, changes, true);
                return Ok(revision);
            }
        }
    }

    async fn watch(&mut self, after: u64) -> Result<u64, CallError> {
        let request = self.protocol.write_watch(self.feed, after, WATCH_MS);
        let limit_ms = WATCH_MS + CALL_MS;
        let (status, body) = self.registry.call(request, limit_ms).await?;
        let page = self.protocol.read_changes(self.feed, status, &body);
        let page = page.map_err(CallError::Refused)?;
        self.regained();
        if !page.changes.is_empty() {
            self.node.changed(self.feed, page.changes, false);
        }
        Ok(page.revision)
    }

    fn lost(&mut self, err: &CallError) {
        if !self.is_lost {
            self.is_lost = true;
            let feed = self.feed.to_string();
            warn!(target: "dependency", feed = feed, why = err.to_string(); "registry lost");
        }
    }

    fn regained(&mut self) {
        if self.is_lost {
            self.is_lost = false;
            info!(target: "dependency", feed = self.feed.to_string(); "registry regained");
        }
    }
}

fn pace(feed: Feed) -> Duration {
    match feed {
        Feed::Operators => OPERATORS_PACE,
        Feed::Upstreams => UPSTREAMS_PACE,
        Feed::Instances => INSTANCES_PACE,
    }
}
