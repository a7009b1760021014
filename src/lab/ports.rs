//! Free ports for tests and the quick start.

use std::{
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU16, Ordering},
};

/// Lowest allocated port. Ports stay below the default ephemeral range of Linux (from 32,768), as an outgoing
/// connection may take a port of that range before a listener binds it.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in the block from which a process allocates.
const BLOCK_PORTS: u16 = 1_000;
/// Number of such blocks, chosen by process id; the last one ends at port 31,999, below the ephemeral range.
const PORT_BLOCKS: u32 = 20;

/// Returns free loopback addresses. Calls of one process return different ports until its block of 1,000 is used up, so
/// that concurrent tests don't share one.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = FIRST_PORT + (std::process::id() % PORT_BLOCKS) as u16 * BLOCK_PORTS;
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % BLOCK_PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // Listening on the port instead would let a child process that another thread spawns meanwhile inherit the
        // socket and hold the port for a moment.
        if TcpStream::connect(address).is_err() {
            addresses.push(address);
        }
    }
    addresses
}
