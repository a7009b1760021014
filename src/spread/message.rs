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
