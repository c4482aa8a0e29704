//! Finds out whether upstreams that registered again after they had left are back.
//!
//! An instance that reads the registry asks the upstreams themselves. The other instances ask the
//! relay that they follow, so that the number of health checks does not grow with the fleet. A relay
//! names only registrations that it has confirmed, and checks those that it uses unchecked once it is
//! asked about them: an instance that has just started does not vouch for what it does not know.
//!
//! An instance that has just started asks others which registrations they hold back, since it knows
//! no departures of its own.

use std::net::SocketAddr;
use std::rc::Rc;

use hemlockrouter_edge::Protocol;
use http::header;
use http::HeaderValue;
use http_body_util::Full;
use log::debug;

use super::connection::with_timeout_ms;
use super::connection::Connection;
use super::mirror::Registration;
use super::mirror::CHECK_INTERVAL_MS;
use super::registry::CallError;
use super::registry::RegistryClient;
use super::relay;

/// Upstream whose registration is to be confirmed.
pub(super) struct HealthCheck {
    pub(super) registration: Registration,
    pub(super) address: SocketAddr,
    /// Path at which the upstream reports its health.
    pub(super) path: String,
}

/// Asks an upstream for its health, and returns whether it is healthy and not leaving. An upstream
/// that does not answer in time is not.
pub(super) async fn is_healthy(protocol: Rc<dyn Protocol>, check: &HealthCheck) -> bool {
    let result = with_timeout_ms(CHECK_INTERVAL_MS, try_check(&*protocol, check)).await;
    let result = result.unwrap_or_else(|| Err(String::from("no answer in time")));
    result.unwrap_or_else(|why| {
        let upstream = check.registration.id.as_str();
        debug!(upstream = upstream, why = why; "health unknown");
        false
    })
}

async fn try_check(protocol: &dyn Protocol, check: &HealthCheck) -> Result<bool, String> {
    let request = protocol.write_health_request(&check.path);
    let request = request.ok_or_else(|| format!("no valid path: {}", check.path))?;
    let mut request = request.map(Full::new);
    let host = HeaderValue::try_from(check.address.to_string());
    let host = host.map_err(|err| err.to_string())?;
    request.headers_mut().insert(header::HOST, host);
    let mut connection = Connection::open(check.address, CHECK_INTERVAL_MS, false).await?;
    let answer = connection.send(request).await;
    let answer = answer.map_err(|err| format!("{err:?}"))?;
    // The body says nothing more. The connection is closed without reading it.
    let (head, _) = answer.into_parts();
    Ok(protocol.is_healthy(&head, &check.registration.id))
}

/// Asks a relay which of `registrations` it has confirmed.
///
/// # Errors
///
/// Returns an error if there is no valid answer in time.
pub(super) async fn ask_relay(
    address: SocketAddr,
    registrations: &[Registration],
) -> Result<Vec<Registration>, CallError> {
    let request = relay::build_confirmed_request(registrations);
    let mut relay = RegistryClient::for_instance(address);
    let answer = relay.call(request, CHECK_INTERVAL_MS).await?;
    let confirmed = relay::decode_registrations(answer.status(), &answer.body);
    confirmed.map_err(CallError::NoAnswer)
}

/// Asks another instance which registrations it holds back.
///
/// # Errors
///
/// Returns an error if there is no valid answer in time.
pub(super) async fn ask_held(address: SocketAddr) -> Result<Vec<Registration>, CallError> {
    let mut relay = RegistryClient::for_instance(address);
    let answer = relay
        .call(relay::build_held_request(), CHECK_INTERVAL_MS)
        .await?;
    let held = relay::decode_registrations(answer.status(), &answer.body);
    held.map_err(CallError::NoAnswer)
}
