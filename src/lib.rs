//! fuchsiashore: the configuration distribution system of a service mesh.
//!
//! Operators edit a table of routes and a table of pools. Daemons beside each target spread the accepted
//! configuration, carry calls, and move pools to new target versions under watch.

mod macros;

pub mod call;
pub mod clock;
pub mod cmd;
pub mod codec;
pub mod config;
pub mod daemon;
pub mod file_watch;
pub mod gate;
pub mod http;
pub mod ini;
pub mod lab;
pub mod member;
pub mod moves;
pub mod settings;
pub mod spread;
pub mod store;
pub mod timeline;
