//! Spread of the accepted configuration: what a daemon takes over, what it refuses, and from whom it pulls.

mod message;
mod state;

pub use {
    message::{ConfigReply, ConfigRequest},
    state::{OfferRefusal, PullSource, SpreadState},
};
