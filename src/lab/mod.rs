//! Fakes for tests, benchmarks and the quick start, kept small and not part of the product: the platform's key-value
//! service, a target, a caller and a TCP relay.

pub mod admission;
pub mod balance;
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
    ports::{PortBlock, free_ports},
    relay::TcpRelay,
    run::{LabError, run},
    target::{TargetBehaviour, TargetServer},
};
