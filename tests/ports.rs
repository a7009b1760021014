//! Ports for tests that run at the same time.

use fuchsiashore::lab::PortBlock;

/// Guards against test processes whose ids call for the same block, and whose daemons then listen on each other's ports.
#[test]
fn blocks_that_are_in_use_at_once_share_no_port() {
    let blocks = [7, 7, 7].map(PortBlock::take);
    let mut ports: Vec<u16> = blocks
        .iter()
        .flat_map(|block| block.free_ports(50))
        .map(|address| address.port())
        .collect();
    ports.sort_unstable();
    ports.dedup();
    assert_eq!(ports.len(), 150);
}
