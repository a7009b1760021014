//! fuchsiashore: the configuration distribution system of a service mesh.
//!
//! Operators edit a table of routes and a table of pools. The daemon beside each target distributes the accepted
//! configuration to its peers, proxies calls, and moves pools to new target versions step by step while it monitors
//! the outcomes of calls.

mod connection_phase;
mod macros;

pub mod call;
mod client_stream;
pub mod clock;
pub mod cmd;
pub mod codec;
pub mod config;
pub mod daemon;
pub mod evacuation;
pub mod file_watch;
pub mod gate;
pub mod http;
pub mod ini;
pub mod intake;
pub mod lab;
pub mod member;
pub mod moves;
pub mod organisations;
mod paced_client;
mod paced_connector;
mod paced_stream;
pub mod quarantine;
pub mod settings;
mod socket_budget;
pub mod spread;
pub mod store;
pub mod timeline;
