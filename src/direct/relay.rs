//! HTTP server for other instances: relays registry changes, accepts batches, and registers
//! instances that request it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hemlockrouter_edge::Generation;
use hemlockrouter_edge::Position;
use hemlockrouter_edge::RelayPage;
use hemlockrouter_types::routing::InstanceEntry;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use log::warn;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::batches;
use super::collector::Collector;
use super::collector::FrameStream;
use super::listener;
use super::listener::page;
use super::member::Member;
use super::mirror::Mirror;
use super::reads::Known;

/// How long the call of an instance without data waits until this instance has read the registry,
/// in milliseconds.
pub(super) const WAIT_MS: u64 = 1_000;

/// Maximum time for which a follower's call waits for changes, in milliseconds.
const WAIT_MAX_MS: u64 = 10_000;

/// Path under which instances that read the registry directly offer themselves as relays.
const OFFER_PATH: &str = "/offer";

/// Path under which instances ask to be registered.
const JOIN_PATH: &str = "/join";

/// Path under which instances without data ask for the readers of their availability zone. The
/// answer waits until this instance has read the registry.
const READERS_PATH: &str = "/readers/";

/// Path under which stopping instances end their registration.
const LEAVE_PATH: &str = "/leave";

/// Maximum size of an encoded instance entry, in bytes.
const ENTRY_MAX_BYTES: usize = 4 << 10;

/// Maximum length of the name of an instance, in bytes.
const NAME_MAX_BYTES: usize = 150;

/// HTTP server for other instances.
pub(super) struct Relay {
    pub(super) mirror: Rc<Mirror>,
    pub(super) collector: Rc<Collector>,
    pub(super) member: Rc<Member>,
    /// Sender that passes the addresses of offered relays to the follower.
    pub(super) offers: mpsc::Sender<SocketAddr>,
    /// Availability zones that the settings name.
    pub(super) zones: BTreeSet<String>,
}

impl Relay {
    /// Serves other instances until the process ends.
    pub(super) async fn accept(self: Rc<Relay>, listener: TcpListener) {
        listener::accept(listener, "relay", |stream, peer| {
            let relay = Rc::clone(&self);
            listener::serve_pages(stream, peer, move |request| {
                let relay = Rc::clone(&relay);
                async move { relay.respond(request).await }
            })
        })
        .await;
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
    ) -> Response<Either<Full<Bytes>, FrameStream>> {
        let answer = match request.uri().path() {
            batches::BATCH_PATH => return self.take_batch(request).await,
            path if path.starts_with(READERS_PATH) => {
                let zone = String::from(&path[READERS_PATH.len()..]);
                self.readers(&zone).await
            }
            JOIN_PATH => self.join(request).await,
            LEAVE_PATH => self.leave(request).await,
            OFFER_PATH => self.offer(request).await,
            _ => changes(&self.mirror, &request).await,
        };
        answer.map(Full::new).map(Either::Left)
    }

    async fn take_batch(
        &self,
        request: Request<Incoming>,
    ) -> Response<Either<Full<Bytes>, FrameStream>> {
        let number = request.headers().get(batches::CALL_ID_HEADER).cloned();
        let mut answer = match self.collector.accept(request).await {
            Ok(response) => response.map(Either::Right),
            Err(status) => page(status, "not taken").map(Full::new).map(Either::Left),
        };
        if let Some(number) = number {
            answer.headers_mut().insert(batches::CALL_ID_HEADER, number);
        }
        answer
    }

    async fn readers(&self, zone: &str) -> Response<Bytes> {
        if !self.mirror.is_read(Duration::from_millis(WAIT_MS)).await {
            return page(StatusCode::SERVICE_UNAVAILABLE, "not read yet");
        }
        let readers = self.collector.node.first_readers(zone);
        encoded_page(rmp_serde::to_vec(&readers))
    }

    async fn join(&self, request: Request<Incoming>) -> Response<Bytes> {
        let entry: InstanceEntry = match read(request).await {
            Ok(entry) => entry,
            Err(why) => return refused(&why),
        };
        if let Err(why) = self.check(&entry) {
            return refused(why);
        }
        if self.member.take_join(entry) {
            page(StatusCode::OK, "registered")
        } else {
            page(StatusCode::SERVICE_UNAVAILABLE, "this instance stops")
        }
    }

    async fn leave(&self, request: Request<Incoming>) -> Response<Bytes> {
        match read::<String>(request).await {
            Ok(name) => {
                self.member.take_leave(&name);
                page(StatusCode::OK, "not registered any more")
            }
            Err(why) => refused(&why),
        }
    }

    async fn offer(&self, request: Request<Incoming>) -> Response<Bytes> {
        let entry: InstanceEntry = match read(request).await {
            Ok(entry) => entry,
            Err(why) => return refused(&why),
        };
        if let Err(why) = self.check(&entry) {
            return refused(why);
        }
        let Some(relay) = entry.relay else {
            return refused("it names no relay");
        };
        match self.offers.try_send(relay) {
            Ok(()) => page(StatusCode::OK, "taken"),
            Err(_) => page(StatusCode::SERVICE_UNAVAILABLE, "too many offers"),
        }
    }

    /// Checks the entry that another instance sent.
    fn check(&self, entry: &InstanceEntry) -> Result<(), &'static str> {
        if entry.name.is_empty() || entry.name.len() > NAME_MAX_BYTES {
            return Err("the name is empty or too long");
        }
        if !self.zones.contains(&entry.zone) {
            return Err("the settings do not name its availability zone");
        }
        Ok(())
    }
}

fn refused(why: &str) -> Response<Bytes> {
    warn!(target: "belief", why = why; "a call of another instance is refused");
    page(StatusCode::BAD_REQUEST, String::from(why))
}

/// Reads and decodes a request body of another instance.
async fn read<T>(request: Request<Incoming>) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let body = Limited::new(request.into_body(), ENTRY_MAX_BYTES);
    let body = body.collect().await.map_err(|err| err.to_string())?;
    rmp_serde::from_slice(&body.to_bytes()).map_err(|err| err.to_string())
}

/// Builds the request for the readers of `zone`.
pub(super) fn write_readers(zone: &str) -> Option<Request<Bytes>> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = format!("{READERS_PATH}{zone}").parse().ok()?;
    Some(request)
}

/// Decodes the answer to [`write_readers`], with the preferred readers first.
///
/// # Errors
///
/// Returns the reason as text if the status or the body is invalid.
pub(super) fn read_readers(status: u16, body: &[u8]) -> Result<Vec<InstanceEntry>, String> {
    check(status)?;
    rmp_serde::from_slice(body).map_err(|err| err.to_string())
}

fn check(status: u16) -> Result<(), String> {
    if status == StatusCode::OK.as_u16() {
        Ok(())
    } else {
        Err(format!("status {status}"))
    }
}

/// Builds the request that asks for registration.
pub(super) fn write_join(me: &InstanceEntry) -> Request<Bytes> {
    write(JOIN_PATH, me)
}

/// Builds the request that offers this instance as a relay.
pub(super) fn write_offer(me: &InstanceEntry) -> Request<Bytes> {
    write(OFFER_PATH, me)
}

/// Builds the request that ends a registration.
pub(super) fn write_leave(name: &str) -> Request<Bytes> {
    write(LEAVE_PATH, &name)
}

fn write<T>(path: &'static str, body: &T) -> Request<Bytes>
where
    T: Serialize,
{
    let body = rmp_serde::to_vec(body).expect("these types can be encoded");
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request
}

async fn changes(mirror: &Mirror, request: &Request<Incoming>) -> Response<Bytes> {
    let Some(call) = Call::read(request.uri()) else {
        return page(StatusCode::BAD_REQUEST, "no such page");
    };
    let wait_ms = call.wait_ms.min(WAIT_MAX_MS);
    let changes = mirror
        .page(call.known, Duration::from_millis(wait_ms))
        .await;
    encoded_page(changes.and_then(|changes| rmp_serde::to_vec(&changes)))
}

fn encoded_page(encoded: Result<Vec<u8>, rmp_serde::encode::Error>) -> Response<Bytes> {
    match encoded {
        Ok(body) => page(StatusCode::OK, body),
        Err(err) => {
            log::error!(why = err.to_string(); "a page can't be written");
            page(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the page can't be written",
            )
        }
    }
}

/// Parsed request of a follower.
struct Call {
    known: Known,
    wait_ms: u64,
}

impl Call {
    fn read(uri: &Uri) -> Option<Call> {
        let position = match uri.path().strip_prefix("/changes")? {
            "" => None,
            after => Some(read_position(after)?),
        };
        let query = uri.query().unwrap_or_default();
        let number = |name: &str| {
            let mut fields = query.split('&');
            let value = fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))?;
            value.parse().ok()
        };
        Some(Call {
            known: Known {
                position,
                age_ms: number("age_ms")?,
            },
            wait_ms: number("wait_ms")?,
        })
    }
}

/// Parses the part of a path that contains generation and revision.
fn read_position(path: &str) -> Option<Position> {
    let (generation, revision) = path.strip_prefix('/')?.split_once('/')?;
    Some(Position {
        generation: Generation(generation.parse().ok()?),
        revision: revision.parse().ok()?,
    })
}

/// Builds a follower's request for changes after `known`, which waits up to `wait_ms` milliseconds
/// for them.
pub(super) fn write_call(known: Known, wait_ms: u64) -> Request<Bytes> {
    let path = match known.position {
        Some(at) => format!("/changes/{}/{}", at.generation, at.revision),
        None => String::from("/changes"),
    };
    let path = format!("{path}?age_ms={}&wait_ms={wait_ms}", known.age_ms);
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = path.parse().expect("numbers form a valid path");
    request
}

/// Decodes the answer to a follower's request.
///
/// # Errors
///
/// Returns the reason as text if the status or the body is invalid.
pub(super) fn read_page(status: u16, body: &[u8]) -> Result<RelayPage, String> {
    check(status)?;
    rmp_serde::from_slice(body).map_err(|err| err.to_string())
}
