//! A TCP proxy that sends responses twice.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;

use hemlockrouter_corporation_lab::Store;
use serde_json::json;

/// The size of the read buffer, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// The smallest size of a response between instances that is sent twice, in bytes. Responses
/// without search results are smaller.
pub(crate) const BATCH_RESPONSE_MIN_BYTES: usize = 400;

/// A TCP proxy that repeats responses. Before the proxy forwards a later request on a connection,
/// it sends the response to the previous request once more.
pub(crate) struct RepeatingProxy {
    address: SocketAddr,
    repeated_responses: Arc<Mutex<usize>>,
}

impl RepeatingProxy {
    /// Starts a proxy in front of `to` that repeats responses of at least `min_bytes`. The proxy
    /// runs until the test process ends.
    pub(crate) fn start(to: SocketAddr, min_bytes: usize) -> RepeatingProxy {
        RepeatingProxy::start_with_share(to, min_bytes, 1.0)
    }

    /// Starts a proxy that repeats a random share of the responses of at least `min_bytes`.
    pub(crate) fn start_with_share(to: SocketAddr, min_bytes: usize, share: f64) -> RepeatingProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let repeated_responses = Arc::new(Mutex::new(0));
        let counter = Arc::clone(&repeated_responses);
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let counter = Arc::clone(&counter);
                std::thread::spawn(move || {
                    // If one connection breaks, the other connection is closed too.
                    let _ = forward_connection(&stream, to, min_bytes, share, &counter);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        RepeatingProxy {
            address,
            repeated_responses,
        }
    }

    /// Returns the address on which the proxy listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Registers an instance in the store whose relay address is this proxy.
    pub(crate) fn register(&self, store: &Store, name: &str, zone: &str) {
        let entry = json!({
            "name": name,
            "zone": zone,
            "relay": self.address,
            "cpu_permille": 1,
            "registered_by": name,
        });
        let key = format!("hemlock/instances/{name}");
        store.put(&key, entry.to_string().as_bytes());
    }

    /// Returns the number of responses that were sent a second time.
    pub(crate) fn repeated_responses(&self) -> usize {
        *self
            .repeated_responses
            .lock()
            .expect("no thread panics with it")
    }
}

fn forward_connection(
    stream: &TcpStream,
    to: SocketAddr,
    min_bytes: usize,
    share: f64,
    repeated_responses: &Mutex<usize>,
) -> std::io::Result<()> {
    let upstream = TcpStream::connect(to)?;
    upstream.set_nodelay(true)?;
    stream.set_nodelay(true)?;
    // The bytes of the response to the last request.
    let answer: Arc<Mutex<Vec<u8>>> = Arc::default();
    let (mut from, mut to_client) = (upstream.try_clone()?, stream.try_clone()?);
    let recorded = Arc::clone(&answer);
    std::thread::spawn(move || {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(read @ 1..) = from.read(&mut chunk) {
            let mut recorded = recorded.lock().expect("no thread panics with it");
            recorded.extend_from_slice(&chunk[..read]);
            if to_client.write_all(&chunk[..read]).is_err() {
                break;
            }
        }
        // The client may have closed the connection already.
        let _ = to_client.shutdown(Shutdown::Both);
    });
    let (mut client, mut server) = (stream, &upstream);
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = client.read(&mut chunk)?;
        if read == 0 {
            return upstream.shutdown(Shutdown::Both);
        }
        let previous_response =
            std::mem::take(&mut *answer.lock().expect("no thread panics with it"));
        if previous_response.len() >= min_bytes && rand::random_bool(share) {
            *repeated_responses.lock().expect("no thread panics with it") += 1;
            client.write_all(&previous_response)?;
        }
        server.write_all(&chunk[..read])?;
    }
}
