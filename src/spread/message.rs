//! Messages by which a daemon pulls the configuration from a peer.

use crate::{
    config::{ConfigHead, HeadDelta},
    macros::value_type,
};

value_type! {
    /// Asks a peer for its configuration.
    pub struct ConfigRequest {
        /// Version that the sender has.
        pub version: u64,
        /// Its digest.
        pub digest: u64,
        /// Whether the whole value is wanted, as a delta did not fit.
        pub whole: bool,
    }
}

value_type! {
    /// The peer's configuration.
    pub enum ConfigReply {
        /// The peer has nothing newer.
        Nothing,
        /// What changed since the sender's version.
        Delta(Box<HeadDelta>),
        /// The whole value.
        Whole(Box<ConfigHead>),
    }
}

impl ConfigReply {
    /// Answers a request from the present head.
    pub fn answer(request: &ConfigRequest, head: Option<&ConfigHead>) -> Self {
        let Some(head) = head.filter(|head| head.version > request.version) else {
            return Self::Nothing;
        };
        let delta = HeadDelta::between(request.version, request.digest, head);
        match delta.filter(|_| !request.whole) {
            Some(delta) => Self::Delta(Box::new(delta)),
            None => Self::Whole(Box::new(head.clone())),
        }
    }
}
