//! Free ports for tests and the quick start.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};

/// Lowest allocated port. Ports stay below the default ephemeral range of Linux (from 32,768), as an outgoing
/// connection may take a port of that range before a listener binds it.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in a block. The first one marks the block as taken.
const BLOCK_PORTS: u16 = 1_000;
/// Number of blocks; the last one ends at port 31,999, below the ephemeral range.
const PORT_BLOCKS: u32 = 20;

/// Block of ports that no other process allocates from while this value lives.
#[derive(Debug)]
pub struct PortBlock {
    first: u16,
    next: AtomicU16,
    /// Socket on the first port, which processes that look for a block can't bind meanwhile.
    _mark: Option<TcpListener>,
}

impl PortBlock {
    /// Takes the first free block from number `wanted` on. If all are taken, shares that one with others.
    pub fn take(wanted: u32) -> Self {
        let first_port = |number: u32| FIRST_PORT + (number % PORT_BLOCKS) as u16 * BLOCK_PORTS;
        let free = (wanted..wanted + PORT_BLOCKS).find_map(|number| {
            let first = first_port(number);
            let mark = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
            Some((first, Some(mark)))
        });
        let (first, mark) = free.unwrap_or((first_port(wanted), None));
        Self {
            first,
            next: AtomicU16::new(0),
            _mark: mark,
        }
    }

    /// Returns free loopback addresses. The ports of further calls differ until the block is used up, so that concurrent
    /// tests don't share one.
    pub fn free_ports(&self, count: usize) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        while addresses.len() < count {
            let offset = 1 + self.next.fetch_add(1, Ordering::Relaxed) % (BLOCK_PORTS - 1);
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.first + offset));
            // Listening on the port instead would let a child process that another thread spawns meanwhile inherit the
            // socket and hold the port for a moment.
            if TcpStream::connect(address).is_err() {
                addresses.push(address);
            }
        }
        addresses
    }
}

/// Returns free loopback addresses from the block of this process.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    static BLOCK: OnceLock<PortBlock> = OnceLock::new();
    let block = BLOCK.get_or_init(|| PortBlock::take(std::process::id()));
    block.free_ports(count)
}
