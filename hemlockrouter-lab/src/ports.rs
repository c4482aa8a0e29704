//! Free ports for processes that can't report which port the kernel gave them.
//!
//! A port that was free a moment ago may be in use by the time a process binds it. So ports are
//! reserved in blocks: the process that listens on the first port of a block owns the whole block.
//! The blocks lie below the range from which the kernel takes ports for outgoing connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

/// Number of ports in a block, including the first port.
const PORTS_PER_BLOCK: u16 = 64;

/// First port of the first block, and end of the last block.
const FIRST_PORT: u16 = 10_240;
const END_PORT: u16 = 32_000;

/// A block of ports on the loopback interface, reserved until it is dropped.
#[derive(Debug)]
pub struct PortBlock {
    _reservation: TcpListener,
    first: u16,
    used: u16,
}

impl PortBlock {
    /// Reserves a free block of ports.
    ///
    /// # Errors
    ///
    /// Fails if every block is reserved.
    pub fn reserve() -> eyre::Result<PortBlock> {
        let blocks = (END_PORT - FIRST_PORT) / PORTS_PER_BLOCK;
        // Different processes start their search at different blocks to avoid collisions.
        let offset = (std::process::id() % u32::from(blocks)) as u16;
        let order = (0..blocks).map(|step| (offset + step) % blocks);
        for block in order {
            let first = FIRST_PORT + block * PORTS_PER_BLOCK;
            if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                return Ok(PortBlock {
                    _reservation: listener,
                    first,
                    used: 0,
                });
            }
        }
        eyre::bail!("every block of ports between {FIRST_PORT} and {END_PORT} is in use")
    }

    /// Returns the next address of the block that nothing listens on.
    ///
    /// # Panics
    ///
    /// Panics if the block is used up.
    pub fn next_free_addr(&mut self) -> SocketAddr {
        loop {
            self.used += 1;
            assert!(
                self.used < PORTS_PER_BLOCK,
                "a block has {PORTS_PER_BLOCK} ports"
            );
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, self.first + self.used));
            if is_free(addr) {
                return addr;
            }
        }
    }
}

/// Returns whether nothing listens on an address.
///
/// The probe binds the socket without listening. A child process that is being started briefly
/// holds copies of its parent's sockets, and a copy of a listening socket would block the port.
fn is_free(addr: SocketAddr) -> bool {
    let probe = || {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())
    };
    let probed: std::io::Result<()> = probe();
    probed.is_ok()
}
