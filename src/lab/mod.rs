//! Fakes for tests, benchmarks and the quick start: the platform's key-value service, a target, a caller and a TCP
//! relay.
//!
//! They are not part of the product, and are kept small.

mod caller;
pub mod figures;
mod kv;
mod ports;
mod relay;
mod run;
mod target;

pub use {
    caller::{CallerReport, CallerSettings, run_caller},
    kv::{KvFaults, KvServer},
    ports::free_ports,
    relay::TcpRelay,
    run::{LabError, run},
    target::{TargetBehaviour, TargetServer},
};
