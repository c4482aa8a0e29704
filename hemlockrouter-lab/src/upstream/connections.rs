//! The open connections of one upstream.
//!
//! `tiny_http` doesn't tell when a connection opens or closes, so the kernel's table of sockets is
//! read whenever a request comes from an address that isn't known yet.

use std::collections::BTreeSet;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// State of an established connection in the kernel's table.
const ESTABLISHED: &str = "01";

/// The addresses at the other ends of open connections.
#[derive(Debug, Default)]
pub(super) struct Connections {
    known: BTreeSet<SocketAddr>,
    /// Connections from before a restart, which can't be closed before something comes over them.
    ended: BTreeSet<SocketAddr>,
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
    /// Returns the number of connections that were open at the last look.
    pub(super) fn open(&self) -> usize {
        self.known.len()
    }

    /// Ends all connections.
    pub(super) fn end_all(&mut self) {
        self.ended.append(&mut self.known);
    }

    /// Admits a request from `peer` to `port`, where at most `limit` connections may be open.
    pub(super) fn admit(&mut self, peer: SocketAddr, port: u16, limit: usize) -> Admission {
        if self.ended.remove(&peer) {
            return Admission::Ended;
        }
        if self.known.contains(&peer) {
            return Admission::Known;
        }
        if let Ok(table) = fs::read_to_string("/proc/self/net/tcp") {
            let open = peers_of(&table, port);
            self.known.retain(|known| open.contains(known));
            self.ended.retain(|ended| open.contains(ended));
        }
        if self.known.len() >= limit {
            return Admission::TooMany;
        }
        self.known.insert(peer);
        Admission::First
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
