//! The open connections of one simulated upstream.
//!
//! `tiny_http` doesn't report when a connection opens or closes, so this module reads the kernel's
//! socket table. Reading a long table can take 100 ms. Therefore one thread reads the table for all
//! upstreams of a group once a second, and a request waits for another read only when the number
//! of known connections has reached the limit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// State code of an established connection in the kernel's socket table.
const TCP_ESTABLISHED_STATE: &str = "01";

/// The peer addresses of open connections.
#[derive(Debug, Default)]
pub(super) struct Connections {
    /// Open connections; the value is true if the connection opened after the last table read.
    known: BTreeMap<SocketAddr, bool>,
    /// Connections from before a restart, each of which is closed at its next request, since
    /// `tiny_http` can't close an idle connection.
    ended: BTreeSet<SocketAddr>,
}

/// The decision on a request, based on its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConnectionAdmission {
    /// The connection is known.
    KnownConnection,
    /// The request is the first on its connection.
    FirstRequest,
    /// The connection exceeds the limit.
    OverLimit,
    /// The connection was ended by a restart.
    EndedByRestart,
}

impl Connections {
    /// Returns the number of connections that were open at the last table read or opened since.
    pub(super) fn open_count(&self) -> usize {
        self.known.len()
    }

    /// Marks all connections as ended by a restart.
    pub(super) fn mark_all_ended(&mut self) {
        self.ended
            .extend(std::mem::take(&mut self.known).into_keys());
    }

    /// Decides on a request from `peer` to `port`, where at most `limit` connections may be open.
    pub(super) fn admit(
        &mut self,
        peer: SocketAddr,
        port: u16,
        limit: usize,
    ) -> ConnectionAdmission {
        if self.ended.remove(&peer) {
            return ConnectionAdmission::EndedByRestart;
        }
        if self.known.contains_key(&peer) {
            return ConnectionAdmission::KnownConnection;
        }
        if self.known.len() >= limit {
            self.remove_closed(&SocketTable::read(), port);
        }
        if self.known.len() >= limit {
            return ConnectionAdmission::OverLimit;
        }
        self.known.insert(peer, true);
        ConnectionAdmission::FirstRequest
    }

    /// Removes the connections to `port` that are not in `table`.
    ///
    /// Connections that opened since the last table read are kept, since they may be newer than
    /// `table`.
    pub(super) fn remove_closed(&mut self, table: &SocketTable, port: u16) {
        let no_peers = BTreeSet::new();
        let open = table.peers.get(&port).unwrap_or(&no_peers);
        self.ended.retain(|ended| open.contains(ended));
        self.known
            .retain(|known, is_new| std::mem::take(is_new) || open.contains(known));
    }
}

/// The established TCP connections of this machine.
#[derive(Debug, Default)]
pub(super) struct SocketTable {
    /// Peer addresses by local port.
    peers: BTreeMap<u16, BTreeSet<SocketAddr>>,
}

impl SocketTable {
    /// Reads the kernel's socket table, or returns an empty table if reading fails.
    pub(super) fn read() -> SocketTable {
        let text = fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
        let mut table = SocketTable::default();
        for row in text.lines().skip(1) {
            if let Some((port, peer)) = parse_established(row) {
                table.peers.entry(port).or_default().insert(peer);
            }
        }
        table
    }
}

/// Returns the local port and the peer address of a table row, if it is an established connection.
fn parse_established(row: &str) -> Option<(u16, SocketAddr)> {
    let mut fields = row.split_ascii_whitespace().skip(1);
    let (local, peer, state) = (fields.next()?, fields.next()?, fields.next()?);
    if state != TCP_ESTABLISHED_STATE {
        return None;
    }
    Some((parse_address(local)?.port(), parse_address(peer)?))
}

/// Parses an address such as `0100007F:1F90`, whose IP number is in native byte order.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::from((Ipv4Addr::from(ip.to_ne_bytes()), port)))
}
