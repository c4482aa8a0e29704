//! The open connections of one upstream.
//!
//! `tiny_http` doesn't tell when a connection opens or closes, so the kernel's table of sockets is
//! read. That can take 100 ms where the table is long, so a thread does it for all upstreams of a group
//! once a second, and a request waits for it only when the limit seems to be reached.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// State of an established connection in the kernel's table.
const ESTABLISHED: &str = "01";

/// The addresses at the other ends of open connections.
#[derive(Debug, Default)]
pub(super) struct Connections {
    /// The value tells whether the connection opened after the last look.
    known: BTreeMap<SocketAddr, bool>,
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
    /// Returns the number of connections that were open at the last look or have opened since.
    pub(super) fn open(&self) -> usize {
        self.known.len()
    }

    /// Ends all connections.
    pub(super) fn end_all(&mut self) {
        self.ended
            .extend(std::mem::take(&mut self.known).into_keys());
    }

    /// Admits a request from `peer` to `port`, where at most `limit` connections may be open.
    pub(super) fn admit(&mut self, peer: SocketAddr, port: u16, limit: usize) -> Admission {
        if self.ended.remove(&peer) {
            return Admission::Ended;
        }
        if self.known.contains_key(&peer) {
            return Admission::Known;
        }
        if self.known.len() >= limit {
            self.forget_closed(&Table::read(), port);
        }
        if self.known.len() >= limit {
            return Admission::TooMany;
        }
        self.known.insert(peer, true);
        Admission::First
    }

    /// Forgets the connections to `port` that `table` doesn't have, but for those that have opened
    /// since the last look and may be younger than the table.
    pub(super) fn forget_closed(&mut self, table: &Table, port: u16) {
        let none = BTreeSet::new();
        let open = table.peers.get(&port).unwrap_or(&none);
        self.ended.retain(|ended| open.contains(ended));
        self.known
            .retain(|known, young| std::mem::take(young) || open.contains(known));
    }
}

/// The established connections of this machine.
#[derive(Debug, Default)]
pub(super) struct Table {
    /// The other ends, by the port at this end.
    peers: BTreeMap<u16, BTreeSet<SocketAddr>>,
}

impl Table {
    /// Reads the kernel's table; one that can't be read is empty.
    pub(super) fn read() -> Table {
        let text = fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
        let mut table = Table::default();
        for row in text.lines().skip(1) {
            if let Some((port, peer)) = established(row) {
                table.peers.entry(port).or_default().insert(peer);
            }
        }
        table
    }
}

/// Returns the own port and the other end of an established connection.
fn established(row: &str) -> Option<(u16, SocketAddr)> {
    let mut fields = row.split_ascii_whitespace().skip(1);
    let (own, peer, state) = (fields.next()?, fields.next()?, fields.next()?);
    if state != ESTABLISHED {
        return None;
    }
    Some((address(own)?.port(), address(peer)?))
}

/// Reads an address such as `0100007F:1F90`, whose IP number is in the machine's byte order.
fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::from((Ipv4Addr::from(ip.to_ne_bytes()), port)))
}
