//! Messages with which a daemon pulls the configuration from a peer.

use crate::{
    config::{ConfigHead, HeadDelta},
    macros::value_type,
};

value_type! {
    /// Request to a peer for a configuration newer than the sender's.
    pub struct ConfigRequest {
        /// Version that the sender has in force, 0 if there is none.
        pub version: u64,
        /// Digest of that version.
        pub digest: u64,
        /// Whether the whole configuration is requested, because a delta could not be applied.
        pub whole: bool,
    }
}

value_type! {
    /// Reply to a [`ConfigRequest`].
    pub enum ConfigReply {
        /// The peer has nothing newer.
        Nothing,
        /// The changes since the requester's version.
        Delta(Box<HeadDelta>),
        /// The whole configuration.
        Whole(Box<ConfigHead>),
    }
}

impl ConfigReply {
    /// Answers a request from the head in force: with a delta if one can be computed and the whole configuration is not
    /// requested.
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
