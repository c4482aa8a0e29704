//! Ports for processes that can't be asked which one they got.
//!
//! A port that was free a moment ago may be taken by the time a process binds it. So ports come in
//! blocks: whoever listens on the first port of a block owns the rest, and blocks lie below the
//! range from which the kernel takes ports for outgoing connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

/// Ports in a block, the first one included.
const BLOCK: u16 = 64;

/// The first port of the first block, and the end of the last one.
const FIRST: u16 = 10_240;
const END: u16 = 32_000;

/// A block of ports on the loopback interface, owned until it is dropped.
#[derive(Debug)]
pub struct Ports {
    _owned: TcpListener,
    first: u16,
    used: u16,
}

impl Ports {
    /// Takes a block.
    ///
    /// # Errors
    ///
    /// Fails if every block is taken.
    pub fn take() -> eyre::Result<Ports> {
        let blocks = (END - FIRST) / BLOCK;
        // Where the search starts only spreads the processes out.
        let offset = (std::process::id() % u32::from(blocks)) as u16;
        let order = (0..blocks).map(|turn| (offset + turn) % blocks);
        for block in order {
            let first = FIRST + block * BLOCK;
            if let Ok(owned) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                return Ok(Ports {
                    _owned: owned,
                    first,
                    used: 0,
                });
            }
        }
        eyre::bail!("every block of ports between {FIRST} and {END} is taken")
    }

    /// Returns the next address of the block that nothing listens on.
    ///
    /// # Panics
    ///
    /// Panics if the block is used up.
    pub fn next_free(&mut self) -> SocketAddr {
        loop {
            self.used += 1;
            assert!(self.used < BLOCK, "a block has {BLOCK} ports");
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, self.first + self.used));
            if is_free(addr) {
                return addr;
            }
        }
    }
}

/// Returns whether nothing listens on an address. It is only bound for that: a process that is being
/// started holds a copy of the socket for a moment, and a copy that listened would keep the port taken.
fn is_free(addr: SocketAddr) -> bool {
    let probe = || {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())
    };
    let probed: std::io::Result<()> = probe();
    probed.is_ok()
}
