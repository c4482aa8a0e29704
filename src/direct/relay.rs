//! HTTP server for other instances: relays registry changes, accepts batches, and registers
//! instances that request it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hemlockrouter_edge::HistoryPosition;
use hemlockrouter_edge::RelayPage;
use hemlockrouter_edge::RestoreGeneration;
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
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;
use percent_encoding::NON_ALPHANUMERIC;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::batches;
use super::collector::Collector;
use super::collector::FrameStream;
use super::listener;
use super::listener::build_response;
use super::member::Member;
use super::mirror::Mirror;
use super::mirror::Registration;
use super::registry_reads::KnownState;

/// Maximum time for which the call of an instance without data waits until this instance has read
/// the registry, in milliseconds.
pub(super) const FIRST_READ_WAIT_MS: u64 = 1_000;

/// Maximum time for which a follower's call waits for changes, in milliseconds.
const FOLLOWER_WAIT_MAX_MS: u64 = 10_000;

/// Path under which instances that read the registry directly offer themselves as relays.
const OFFER_PATH: &str = "/offer";

/// Path under which instances ask to be registered.
const JOIN_PATH: &str = "/join";

/// Path under which instances without data ask for the readers of their availability zone. The
/// answer waits until this instance has read the registry.
const READERS_PATH: &str = "/readers/";

/// Path under which followers ask which registrations of upstreams are confirmed.
const CONFIRMED_PATH: &str = "/confirmed";

/// Path under which instances that have just started ask which registrations are held back.
const HELD_PATH: &str = "/held";

/// Maximum number of registrations in an answer. After an outage, hundreds are checked at once.
const HELD_REGISTRATIONS_MAX: usize = 512;

/// Path under which stopping instances end their registration.
const LEAVE_PATH: &str = "/leave";

/// Maximum size of an encoded instance entry, in bytes.
const INSTANCE_ENTRY_MAX_BYTES: usize = 4 << 10;

/// Maximum size of an encoded list of registrations, in bytes.
const REGISTRATIONS_MAX_BYTES: usize = 64 << 10;

/// Maximum length of the name of an instance, in bytes.
const INSTANCE_NAME_MAX_BYTES: usize = 150;

/// HTTP server for other instances.
pub(super) struct RelayServer {
    pub(super) mirror: Rc<Mirror>,
    pub(super) collector: Rc<Collector>,
    pub(super) member: Rc<Member>,
    /// Sender that passes the addresses of offered relays to the follower.
    pub(super) offers: mpsc::Sender<SocketAddr>,
    /// Availability zones that the settings name.
    pub(super) zones: BTreeSet<String>,
}

impl RelayServer {
    /// Serves other instances until the process ends.
    pub(super) async fn accept(self: Rc<RelayServer>, listener: TcpListener) {
        listener::accept(&listener, "relay", |stream, peer| {
            let relay = Rc::clone(&self);
            listener::serve_http(stream, peer, move |request| {
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
            batches::BATCH_PATH => return self.serve_batch(request).await,
            path if path.starts_with(READERS_PATH) => {
                let zone = percent_decode_str(&path[READERS_PATH.len()..]).decode_utf8_lossy();
                self.handle_readers(&zone).await
            }
            JOIN_PATH => self.handle_join(request).await,
            LEAVE_PATH => self.handle_leave(request).await,
            CONFIRMED_PATH => self.handle_confirmed(request).await,
            HELD_PATH => {
                let held = self.mirror.held_registrations(HELD_REGISTRATIONS_MAX);
                encode_response(rmp_serde::to_vec(&held))
            }
            OFFER_PATH => self.handle_offer(request).await,
            _ => serve_changes(&self.mirror, &request).await,
        };
        answer.map(Full::new).map(Either::Left)
    }

    async fn serve_batch(
        &self,
        request: Request<Incoming>,
    ) -> Response<Either<Full<Bytes>, FrameStream>> {
        let call_id = request.headers().get(batches::CALL_ID_HEADER).cloned();
        let mut answer = match self.collector.accept(request).await {
            Ok(response) => response.map(Either::Right),
            Err(status) => build_response(status, "not taken")
                .map(Full::new)
                .map(Either::Left),
        };
        if let Some(call_id) = call_id {
            answer
                .headers_mut()
                .insert(batches::CALL_ID_HEADER, call_id);
        }
        answer
    }

    async fn handle_readers(&self, zone: &str) -> Response<Bytes> {
        if !self
            .mirror
            .wait_until_read(Duration::from_millis(FIRST_READ_WAIT_MS))
            .await
        {
            return build_response(StatusCode::SERVICE_UNAVAILABLE, "not read yet");
        }
        let readers = self.collector.node.first_readers(zone);
        encode_response(rmp_serde::to_vec(&readers))
    }

    async fn handle_join(&self, request: Request<Incoming>) -> Response<Bytes> {
        let entry: InstanceEntry = match read_message(request, INSTANCE_ENTRY_MAX_BYTES).await {
            Ok(entry) => entry,
            Err(reason) => return reject(&reason),
        };
        if let Err(reason) = self.check_entry(&entry) {
            return reject(reason);
        }
        if self.member.accept_join(entry) {
            build_response(StatusCode::OK, "registered")
        } else {
            build_response(StatusCode::SERVICE_UNAVAILABLE, "this instance stops")
        }
    }

    async fn handle_leave(&self, request: Request<Incoming>) -> Response<Bytes> {
        match read_message::<String>(request, INSTANCE_ENTRY_MAX_BYTES).await {
            Ok(name) => {
                self.member.accept_leave(&name);
                build_response(StatusCode::OK, "not registered any more")
            }
            Err(reason) => reject(&reason),
        }
    }

    async fn handle_confirmed(&self, request: Request<Incoming>) -> Response<Bytes> {
        let registrations: Vec<Registration> =
            match read_message(request, REGISTRATIONS_MAX_BYTES).await {
                Ok(registrations) => registrations,
                Err(reason) => return reject(&reason),
            };
        encode_response(rmp_serde::to_vec(&self.mirror.confirmed_of(registrations)))
    }

    async fn handle_offer(&self, request: Request<Incoming>) -> Response<Bytes> {
        let entry: InstanceEntry = match read_message(request, INSTANCE_ENTRY_MAX_BYTES).await {
            Ok(entry) => entry,
            Err(reason) => return reject(&reason),
        };
        if let Err(reason) = self.check_entry(&entry) {
            return reject(reason);
        }
        let Some(relay) = entry.relay else {
            return reject("it names no relay");
        };
        match self.offers.try_send(relay) {
            Ok(()) => build_response(StatusCode::OK, "taken"),
            Err(_) => build_response(StatusCode::SERVICE_UNAVAILABLE, "too many offers"),
        }
    }

    /// Checks the entry that another instance sent.
    fn check_entry(&self, entry: &InstanceEntry) -> Result<(), &'static str> {
        if entry.name.is_empty() || entry.name.len() > INSTANCE_NAME_MAX_BYTES {
            return Err("the name is empty or too long");
        }
        if !self.zones.contains(&entry.zone) {
            return Err("the settings do not name its availability zone");
        }
        Ok(())
    }
}

fn reject(reason: &str) -> Response<Bytes> {
    warn!(target: "belief", why = reason; "a call of another instance is refused");
    build_response(StatusCode::BAD_REQUEST, String::from(reason))
}

/// Reads and decodes a request body of another instance, of at most `max_bytes` bytes.
async fn read_message<T>(request: Request<Incoming>, max_bytes: usize) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let body = Limited::new(request.into_body(), max_bytes);
    let body = body.collect().await.map_err(|err| err.to_string())?;
    rmp_serde::from_slice(&body.to_bytes()).map_err(|err| err.to_string())
}

/// Builds the request for the readers of `zone`, whose name may hold any text.
pub(super) fn build_readers_request(zone: &str) -> Request<Bytes> {
    let zone = utf8_percent_encode(zone, NON_ALPHANUMERIC);
    let mut request = Request::new(Bytes::new());
    let path = format!("{READERS_PATH}{zone}");
    *request.uri_mut() = path.parse().expect("an encoded zone forms a valid path");
    request
}

/// Decodes the answer to [`build_readers_request`], with the preferred readers first.
///
/// # Errors
///
/// Returns the reason as text if the status or the body is invalid.
pub(super) fn decode_readers(status: u16, body: &[u8]) -> Result<Vec<InstanceEntry>, String> {
    check_status(status)?;
    rmp_serde::from_slice(body).map_err(|err| err.to_string())
}

fn check_status(status: u16) -> Result<(), String> {
    if status == StatusCode::OK.as_u16() {
        Ok(())
    } else {
        Err(format!("status {status}"))
    }
}

/// Builds the request that asks for registration.
pub(super) fn build_join_request(entry: &InstanceEntry) -> Request<Bytes> {
    build_post(JOIN_PATH, entry)
}

/// Builds the request that offers this instance as a relay.
pub(super) fn build_offer_request(entry: &InstanceEntry) -> Request<Bytes> {
    build_post(OFFER_PATH, entry)
}

/// Builds the request that asks which of `registrations` are confirmed.
pub(super) fn build_confirmed_request(registrations: &[Registration]) -> Request<Bytes> {
    build_post(CONFIRMED_PATH, &registrations)
}

/// Builds the request that asks which registrations are held back.
pub(super) fn build_held_request() -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = Uri::from_static(HELD_PATH);
    request
}

/// Decodes the answer to [`build_confirmed_request`] or [`build_held_request`].
///
/// # Errors
///
/// Returns the reason as text if the status or the body is invalid.
pub(super) fn decode_registrations(status: u16, body: &[u8]) -> Result<Vec<Registration>, String> {
    check_status(status)?;
    rmp_serde::from_slice(body).map_err(|err| err.to_string())
}

/// Builds the request that ends a registration.
pub(super) fn build_leave_request(name: &str) -> Request<Bytes> {
    build_post(LEAVE_PATH, &name)
}

fn build_post<T>(path: &'static str, body: &T) -> Request<Bytes>
where
    T: Serialize,
{
    let body = rmp_serde::to_vec(body).expect("these types can be encoded");
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request
}

async fn serve_changes(mirror: &Mirror, request: &Request<Incoming>) -> Response<Bytes> {
    let Some(call) = FollowerCall::parse(request.uri()) else {
        return build_response(StatusCode::BAD_REQUEST, "no such page");
    };
    let wait_ms = call.wait_ms.min(FOLLOWER_WAIT_MAX_MS);
    let changes = mirror
        .updates_for(call.known_state, Duration::from_millis(wait_ms))
        .await;
    encode_response(changes.and_then(|changes| rmp_serde::to_vec(&changes)))
}

fn encode_response(encoded: Result<Vec<u8>, rmp_serde::encode::Error>) -> Response<Bytes> {
    match encoded {
        Ok(body) => build_response(StatusCode::OK, body),
        Err(err) => {
            log::error!(why = err.to_string(); "a page can't be written");
            build_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the page can't be written",
            )
        }
    }
}

/// Parsed request of a follower.
struct FollowerCall {
    known_state: KnownState,
    wait_ms: u64,
}

impl FollowerCall {
    fn parse(uri: &Uri) -> Option<FollowerCall> {
        let position = match uri.path().strip_prefix("/changes")? {
            "" => None,
            after => Some(parse_position(after)?),
        };
        let query = uri.query().unwrap_or_default();
        let parse_number = |name: &str| {
            let mut fields = query.split('&');
            let value = fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))?;
            value.parse().ok()
        };
        Some(FollowerCall {
            known_state: KnownState {
                position,
                age_ms: parse_number("age_ms")?,
            },
            wait_ms: parse_number("wait_ms")?,
        })
    }
}

/// Parses the part of a path that contains generation and revision.
fn parse_position(path: &str) -> Option<HistoryPosition> {
    let (generation, revision) = path.strip_prefix('/')?.split_once('/')?;
    Some(HistoryPosition {
        generation: RestoreGeneration(generation.parse().ok()?),
        revision: revision.parse().ok()?,
    })
}

/// Builds a follower's request for changes after `known_state`, which waits up to `wait_ms`
/// milliseconds for them.
pub(super) fn build_changes_request(known_state: KnownState, wait_ms: u64) -> Request<Bytes> {
    let path = match known_state.position {
        Some(position) => format!("/changes/{}/{}", position.generation, position.revision),
        None => String::from("/changes"),
    };
    let path = format!("{path}?age_ms={}&wait_ms={wait_ms}", known_state.age_ms);
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = path.parse().expect("numbers form a valid path");
    request
}

/// Decodes the answer to a follower's request.
///
/// # Errors
///
/// Returns the reason as text if the status or the body is invalid.
pub(super) fn decode_page(status: u16, body: &[u8]) -> Result<RelayPage, String> {
    check_status(status)?;
    rmp_serde::from_slice(body).map_err(|err| err.to_string())
}
