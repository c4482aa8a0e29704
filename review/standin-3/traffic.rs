//! Clients, and the platform's choice of the instances that get new connections.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::util::{random, Message, Wire};
use crate::world::{get, new_id, Ledger, Request};

/// A request as a client saw it.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub path: String,
    pub instance: usize,
    pub sent: Instant,
    pub ended: Instant,
    /// Status of a complete answer.
    pub status: Option<u16>,
}

/// The platform's rotation: instances whose ready address answers 200. Two misses in a row take an
/// instance out.
pub struct Rotation {
    pub fronts: Vec<SocketAddr>,
    misses: Vec<AtomicUsize>,
}

impl Rotation {
    pub fn start(addresses: Vec<(SocketAddr, SocketAddr)>, stop: &Arc<AtomicBool>) -> Arc<Rotation> {
        let rotation = Arc::new(Rotation {
            fronts: addresses.iter().map(|(front, _)| *front).collect(),
            misses: addresses.iter().map(|_| AtomicUsize::new(0)).collect(),
        });
        for (index, (_, ready)) in addresses.into_iter().enumerate() {
            let (rotation, stop) = (Arc::clone(&rotation), Arc::clone(stop));
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let is_ready = get(ready, "/ready").is_some_and(|answer| answer.status() == 200);
                    let misses = &rotation.misses[index];
                    misses.store(if is_ready { 0 } else { misses.load(Ordering::Relaxed) + 1 }, Ordering::Relaxed);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        rotation
    }

    pub fn is_in(&self, index: usize) -> bool {
        self.misses[index].load(Ordering::Relaxed) < 2
    }

    fn choose(&self) -> Option<usize> {
        let mut all: Vec<usize> = (0..self.fronts.len()).filter(|index| self.is_in(*index)).collect();
        if all.is_empty() {
            all = (0..self.fronts.len()).collect();
        }
        Some(all[random() as usize % all.len()])
    }
}

/// Sends GET requests for `paths` on new connections at `per_s` until `stop` is set, and returns what
/// the clients saw.
pub fn run(
    rotation: &Arc<Rotation>,
    ledger: &Ledger,
    paths: &'static [&'static str],
    per_s: u64,
    deadline_ms: u64,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<Exchange>> {
    let (rotation, ledger, stop) = (Arc::clone(rotation), ledger.clone(), Arc::clone(stop));
    thread::spawn(move || {
        let seen: Arc<Mutex<Vec<Exchange>>> = Arc::default();
        let mut clients = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let path = paths[random() as usize % paths.len()];
            let Some(index) = rotation.choose() else { continue };
            let (front, seen, ledger) = (rotation.fronts[index], Arc::clone(&seen), ledger.clone());
            clients.push(thread::spawn(move || {
                let request = Request { path: String::from(path), id: new_id(), deadline_ms };
                let sent = Instant::now();
                let answer = call(front, &request, Duration::from_millis(deadline_ms + 500));
                let status = answer.map(|answer| answer.status());
                ledger.note(&format!("client: {} {path} to instance {index}: {}", request.id, status.map_or(String::from("no answer"), |status| status.to_string())));
                seen.lock().unwrap().push(Exchange { id: request.id, path: request.path, instance: index, sent, ended: Instant::now(), status });
            }));
            thread::sleep(Duration::from_micros(1_000_000 / per_s));
        }
        for client in clients {
            let _ = client.join();
        }
        let seen = seen.lock().unwrap();
        seen.clone()
    })
}

/// Sends a request on a new connection and reads the answer.
pub fn call(front: SocketAddr, request: &Request, limit: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut wire = Wire::new(stream);
    wire.write(&request.bytes()).ok()?;
    wire.read_response().ok()
}
