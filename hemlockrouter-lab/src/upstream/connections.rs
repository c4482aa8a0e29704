//! The open connections of one upstream.
//!
//! `tiny_http` doesn't tell when a connection opens or closes, so the kernel's table of sockets is
//! read, which takes a while where it is long: when the limit seems to be reached, and otherwise at
//! most once a second.

use std::collections::BTreeSet;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use hemlockrouter_types::Time;

/// Time between two looks at the kernel's table while the limit isn't reached, in milliseconds.
const LOOK_EVERY_MS: u64 = 1_000;

/// State of an established connection in the kernel's table.
const ESTABLISHED: &str = "01";

/// The addresses at the other ends of open connections.
#[derive(Debug, Default)]
pub(super) struct Connections {
    known: BTreeSet<SocketAddr>,
    /// Connections from before a restart, which can't be closed before something comes over them.
    ended: BTreeSet<SocketAddr>,
    looked: Time,
}

/// What is to be done with a request, by its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Admission {
    /// It came over a known connection.
    Known,
    /// It is the first one on its connection.
    First,
    /// Its connection is one too many.
    TooMany,
    /// Its connection ended with a restart.
    Ended,
}

impl Connections {
    /// Returns the number of connections that were open at the last look or have opened since.
    pub(super) fn open(&self) -> usize {
        self.known.len()
    }

    /// Ends all connections.
    pub(super) fn end_all(&mut self) {
        self.ended.append(&mut self.known);
    }

    /// Admits a request from `peer` to `port`, where at most `limit` connections may be open.
    pub(super) fn admit(
        &mut self,
        peer: SocketAddr,
        port: u16,
        limit: usize,
        now: Time,
    ) -> Admission {
        if self.ended.remove(&peer) {
            return Admission::Ended;
        }
        if self.known.contains(&peer) {
            return Admission::Known;
        }
        let seems_full = self.known.len() >= limit;
        if seems_full || now.since(self.looked) >= LOOK_EVERY_MS {
            self.looked = now;
            self.look(port);
        }
        if self.known.len() >= limit {
            return Admission::TooMany;
        }
        self.known.insert(peer);
        Admission::First
    }

    /// Forgets the connections that the kernel doesn't know any more.
    fn look(&mut self, port: u16) {
        if let Ok(table) = fs::read_to_string("/proc/self/net/tcp") {
            let open = peers_of(&table, port);
            self.known.retain(|known| open.contains(known));
            self.ended.retain(|ended| open.contains(ended));
        }
    }
}

/// Returns the other ends of the established connections to `port`.
fn peers_of(table: &str, port: u16) -> BTreeSet<SocketAddr> {
    let rows = table.lines().skip(1);
    let fields = rows.map(|row| row.split_ascii_whitespace().skip(1).collect::<Vec<&str>>());
    let established = fields.filter(|fields| fields.get(2) == Some(&ESTABLISHED));
    let ends = established.filter_map(|fields| Some((address(fields[0])?, address(fields[1])?)));
    ends.filter(|(own, _)| own.port() == port)
        .map(|(_, peer)| peer)
        .collect()
}

/// Reads an address such as `0100007F:1F90`, whose IP number is in the machine's byte order.
fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::from((Ipv4Addr::from(ip.to_ne_bytes()), port)))
}
