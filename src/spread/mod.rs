//! Dissemination of the accepted configuration: which versions a daemon applies or refuses, and from which peer it
//! pulls a newer one.

mod history;
mod message;
mod state;

pub use {
    message::{ConfigReply, ConfigRequest},
    state::{OfferRefusal, OverdueVersion, PullSource, ReadDue, SpreadState},
};
