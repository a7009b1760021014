//! Free ports for tests and the quick start.

use std::{
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU16, Ordering},
};

/// Lowest port that is given out; below the range that Linux takes source ports from by default (32,768 on), as a
/// connection may take a port of that range before its owner listens on it.
const FIRST_PORT: u16 = 12_000;
/// Ports that one process gives out.
const BLOCK_PORTS: u16 = 1_000;
/// Number of such blocks: they end below the range of source ports.
const PORT_BLOCKS: u32 = 20;

/// Returns addresses of loopback that are free. No two calls of a process return the same while its block lasts, so that
/// tests that run at once don't take one another's.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = FIRST_PORT + (std::process::id() % PORT_BLOCKS) as u16 * BLOCK_PORTS;
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % BLOCK_PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // Not probed by listening: a process that another thread starts meanwhile would hold the port for a moment.
        if TcpStream::connect(address).is_err() {
            addresses.push(address);
        }
    }
    addresses
}
