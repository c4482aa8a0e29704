//! Closes the callers' port without losing connections.

use std::io;
use std::io::ErrorKind;

use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Closes a port and returns the connections that waited in its queue. Closing the port first would
/// reset them, although their callers may already have sent a request.
pub(crate) fn close(listener: TcpListener) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    if let Err(err) = accept_queued(listener, &mut queued) {
        let accepted = queued.len();
        warn!(accepted = accepted, why = err.to_string(); "can't accept all connections of a port that is closed");
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
