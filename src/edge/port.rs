//! Closes the callers' port without losing connections.
//!
//! A port that is closed resets the connections whose handshakes have not ended, although their
//! callers may take them for open and have sent a request. A stop therefore closes the port only
//! once callers have ceased to open connections, which they do when the platform's load balancer has
//! noticed that the instance is not ready. While other instances stop too, a load balancer may
//! direct callers to this one for longer.

use std::io;
use std::io::ErrorKind;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep_until;
use tokio::time::Instant;

use crate::edge::phase::ShutdownPhase;

/// Time without a new connection after which callers count as having ceased to open connections.
const QUIET_PERIOD: Duration = Duration::from_millis(500);

/// Waits until a stop closes the port. `accepted_at` is the time at which the last connection was
/// accepted.
pub(crate) async fn wait_to_close(mut phase: watch::Receiver<ShutdownPhase>, accepted_at: Instant) {
    let closing = phase.wait_for(|phase| phase.is_closing()).await;
    let closing = closing.map(|phase| *phase);
    let Ok(ShutdownPhase::Closing { port_open_until }) = closing else {
        // The server is gone.
        return;
    };
    sleep_until(port_open_until.min(accepted_at + QUIET_PERIOD)).await;
}

/// Closes a port and returns the connections that waited in its queue. Closing the port first would
/// reset them, although their callers may already have sent a request.
pub(crate) fn close(listener: TcpListener) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    let result = accept_queued(listener, &mut queued);
    let accepted = queued.len();
    match result {
        Ok(()) => info!(target: "process", queued = accepted; "callers' port closed"),
        Err(err) => {
            warn!(accepted = accepted, why = err.to_string(); "can't accept all connections of a port that is closed");
        }
    }
    queued
}

fn accept_queued(listener: TcpListener, queued: &mut Vec<TcpStream>) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                queued.push(TcpStream::from_std(stream)?);
            }
            Err(err) => match err.kind() {
                ErrorKind::WouldBlock => return Ok(()),
                ErrorKind::Interrupted | ErrorKind::ConnectionAborted => {}
                _ => return Err(err),
            },
        }
    }
}
