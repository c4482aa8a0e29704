//! A TCP relay that simulates a broken, slow or half-open network.
//!
//! The relay stands between two processes in place of their network. A link that is cut closes
//! every connection and each new connection at once. A half-open link keeps and accepts
//! connections but transfers no bytes, as if packets were dropped on the way. The bytes of a
//! connection always keep their order.
//!
//! `PUT /lab/link` on the control address accepts the fields of [`LinkCondition`]; omitted fields keep
//! their value. `GET /lab/counts` returns [`LinkCounts`].

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;
use tiny_http::Method;

use crate::server::merge_fields;
use crate::server::Exchange;
use crate::server::HttpResponse;
use crate::server::Server;
use crate::server::ServerOptions;

/// Maximum number of bytes read at once.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Maximum number of chunks buffered for one direction of a connection.
const MAX_BUFFERED_CHUNKS: usize = 256;

/// Timeout for connecting to the target of the link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The simulated network condition of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkCondition {
    /// Whether all connections are closed, and each new connection at once.
    pub cut: bool,
    /// Whether no bytes pass in either direction, while connections can still be established.
    pub half_open: bool,
    /// Delay added in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Bandwidth of each direction of a connection, in bytes per second; 0 for no limit.
    pub bytes_per_s: u64,
}

/// Counters of the connections and bytes of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LinkCounts {
    /// Connections established since the start.
    pub connections: u64,
    /// Connections currently open.
    pub open: u64,
    /// Bytes relayed, in both directions together.
    pub bytes: u64,
}

/// A running TCP relay, which stops when dropped.
pub struct TcpRelay {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    stopped: AtomicBool,
}

#[derive(Default)]
struct State {
    condition: LinkCondition,
    counts: LinkCounts,
    open: Vec<(u64, TcpStream, TcpStream)>,
}

impl TcpRelay {
    /// Starts a relay that forwards connections from `listen` to `to`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub fn start(
        listen: SocketAddr,
        to: SocketAddr,
        condition: LinkCondition,
    ) -> eyre::Result<TcpRelay> {
        let listener =
            TcpListener::bind(listen).wrap_err_with(|| format!("can't listen on {listen}"))?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        shared.lock().condition = condition;
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept_connections(&listener, to, &accepting));
        Ok(TcpRelay { addr, shared })
    }

    /// Starts the HTTP server for the control paths on `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub fn serve_control(&self, listen: SocketAddr) -> eyre::Result<Server> {
        let shared = Arc::clone(&self.shared);
        Server::start(listen, ServerOptions::default(), move |exchange| {
            let answer = shared.handle_control(&exchange);
            exchange.answer(answer);
        })
    }

    /// Returns the address that the link listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the network condition of the link.
    pub fn set_condition(&self, condition: LinkCondition) {
        self.shared.set_condition(condition);
    }

    /// Returns a copy of the counters.
    pub fn counts(&self) -> LinkCounts {
        self.shared.lock().counts
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.shared.set_condition(LinkCondition {
            cut: true,
            ..LinkCondition::default()
        });
        // The accepting thread checks `stopped` only after it has accepted a connection.
        drop(TcpStream::connect(self.addr));
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics under the lock")
    }

    fn set_condition(&self, condition: LinkCondition) {
        let mut state = self.lock();
        state.condition = condition;
        if condition.cut {
            for (_, client, target) in state.open.drain(..) {
                close(&client, &target);
            }
            state.counts.open = 0;
        }
        self.changed.notify_all();
    }

    fn handle_control(&self, exchange: &Exchange) -> HttpResponse {
        match (exchange.method(), exchange.path.as_str()) {
            (Method::Get, "/lab/counts") => HttpResponse::json(200, &self.lock().counts),
            (Method::Put, "/lab/link") => {
                let current = self.lock().condition;
                let wanted = exchange.json();
                match wanted.and_then(|fields| merge_fields(&current, fields)) {
                    Ok(condition) => {
                        self.set_condition(condition);
                        HttpResponse::json(200, &condition)
                    }
                    Err(err) => HttpResponse::bad_request(err),
                }
            }
            _ => HttpResponse::not_found(),
        }
    }

    /// Waits while the link is half open, and returns the condition of the link.
    fn wait_while_half_open(&self) -> LinkCondition {
        let mut state = self.lock();
        while state.condition.half_open && !state.condition.cut {
            let woken = self.changed.wait(state);
            state = woken.expect("no thread panics under the lock");
        }
        state.condition
    }

    fn register_connection(
        &self,
        client: &TcpStream,
        target: &TcpStream,
    ) -> io::Result<Option<u64>> {
        let stream_clones = (client.try_clone()?, target.try_clone()?);
        let mut state = self.lock();
        if state.condition.cut {
            return Ok(None);
        }
        state.counts.connections += 1;
        state.counts.open += 1;
        let id = state.counts.connections;
        state.open.push((id, stream_clones.0, stream_clones.1));
        Ok(Some(id))
    }

    fn remove_connection(&self, id: u64) {
        let mut state = self.lock();
        let index = state.open.iter().position(|(open, _, _)| *open == id);
        if let Some(index) = index {
            let (_, client, target) = state.open.swap_remove(index);
            close(&client, &target);
            state.counts.open -= 1;
        }
    }
}

fn close(client: &TcpStream, target: &TcpStream) {
    for end in [client, target] {
        if let Err(err) = end.shutdown(Shutdown::Both) {
            log::debug!("can't shut down the connection: {err}");
        }
    }
}

fn accept_connections(listener: &TcpListener, to: SocketAddr, shared: &Arc<Shared>) {
    for client in listener.incoming() {
        if shared.stopped.load(Ordering::Relaxed) {
            return;
        }
        let Ok(client) = client else { continue };
        if shared.lock().condition.cut {
            continue;
        }
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            if let Err(err) = relay_connection(client, to, &shared) {
                log::debug!("connection not relayed: {err}");
            }
        });
    }
}

fn relay_connection(client: TcpStream, to: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    shared.wait_while_half_open();
    let target = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    client.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let Some(id) = shared.register_connection(&client, &target)? else {
        return Ok(());
    };
    thread::scope(|scope| {
        scope.spawn(|| copy_bytes(&client, &target, shared));
        copy_bytes(&target, &client, shared);
    });
    shared.remove_connection(id);
    Ok(())
}

/// Relays the bytes of one direction until the connection ends.
fn copy_bytes(from: &TcpStream, to: &TcpStream, shared: &Shared) {
    let (sender, receiver) = mpsc::sync_channel(MAX_BUFFERED_CHUNKS);
    thread::scope(|scope| {
        scope.spawn(move || write_chunks(to, receiver, shared));
        read_chunks(from, sender);
    });
    // Only this direction is shut down; the other direction continues until it ends by itself.
    if let Err(err) = to.shutdown(Shutdown::Write) {
        log::debug!("can't shut down the connection: {err}");
    }
}

fn read_chunks(mut from: &TcpStream, sender: SyncSender<(Instant, Vec<u8>)>) {
    let mut buffer = vec![0; MAX_CHUNK_BYTES];
    loop {
        match from.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => {
                let chunk = (Instant::now(), buffer[..count].to_vec());
                if sender.send(chunk).is_err() {
                    return;
                }
            }
        }
    }
}

fn write_chunks(mut to: &TcpStream, receiver: Receiver<(Instant, Vec<u8>)>, shared: &Shared) {
    while let Ok((read_at, chunk)) = receiver.recv() {
        let condition = shared.wait_while_half_open();
        let delay = Duration::from_millis(condition.delay_ms);
        thread::sleep((read_at + delay).saturating_duration_since(Instant::now()));
        let transfer_us = (chunk.len() as u64 * 1_000_000).checked_div(condition.bytes_per_s);
        thread::sleep(Duration::from_micros(transfer_us.unwrap_or_default()));
        // The bytes are counted before the write, so that a receiver of a byte always finds it
        // counted.
        shared.lock().counts.bytes += chunk.len() as u64;
        if to.write_all(&chunk).is_err() {
            return;
        }
    }
}
