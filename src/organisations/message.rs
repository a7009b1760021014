//! Messages between the daemons that spend tokens and the owner that grants them.

use {
    crate::{clock::TimePoint, macros::value_type},
    std::sync::Arc,
};

value_type! {
    /// What a daemon has and wants of one organisation's tokens.
    pub struct TokenAsk {
        /// Name of the organisation.
        pub organisation: Arc<str>,
        /// Tokens that it has and may spend.
        pub unspent: u32,
        /// Tokens that it had and will not spend.
        pub returned: u32,
        /// Tokens that it wants.
        pub wanted: u32,
    }
}

value_type! {
    /// Supports an owner, and asks it for tokens. Organisations that are not listed have no unspent tokens.
    pub struct QuotaAsk {
        /// Name of the sender.
        pub from: Arc<str>,
        /// Start of the sender's process.
        pub life: TimePoint,
        /// Number of the ask, which rises.
        pub seq: u64,
        /// Number of the latest ask whose answer was received; 0 for none.
        pub answered_seq: u64,
        /// Start of the owner's process and the latest time of its clock that it has stated.
        pub echo: Option<(TimePoint, TimePoint)>,
        /// Tokens by organisation.
        pub tokens: Vec<TokenAsk>,
    }
}

value_type! {
    /// Tokens of one organisation that an owner grants.
    pub struct TokenGrant {
        /// Name of the organisation.
        pub organisation: Arc<str>,
        /// Tokens granted.
        pub granted: u32,
        /// Time until there is a token again, in milliseconds, if fewer were granted than wanted.
        pub room_ms: u64,
    }
}

value_type! {
    /// Answer to a [`QuotaAsk`].
    pub struct QuotaAnswer {
        /// Name of the owner.
        pub from: Arc<str>,
        /// Start of the owner's process.
        pub life: TimePoint,
        /// Time of the owner's clock at which it answered.
        pub at: TimePoint,
        /// Number of the ask.
        pub seq: u64,
        /// Tokens by organisation.
        pub grants: Vec<TokenGrant>,
    }
}
