//! Messages of the membership protocol.

use {
    super::{confirmation::KnownVersion, record::MemberRecord},
    crate::{
        macros::value_type,
        organisations::{QuotaAnswer, QuotaAsk},
        quarantine::QuarantineNotice,
    },
    std::{net::SocketAddr, sync::Arc},
};

value_type! {
    /// Purpose of a probe datagram.
    pub enum ProbeKind {
        /// Asks for an acknowledgement.
        Ping {
            /// Sequence number that the acknowledgement repeats.
            seq: u64,
        },
        /// Answers a ping.
        Ack {
            /// Sequence number of the ping.
            seq: u64,
        },
        /// Asks the receiver to ping a third daemon and to forward its acknowledgement.
        PingRequest {
            /// Sequence number that the forwarded acknowledgement repeats.
            seq: u64,
            /// Name of the daemon to ping.
            target: Arc<str>,
            /// Its control address.
            address: SocketAddr,
        },
        /// Carries the applied version and record updates; not acknowledged.
        Notice,
        /// Asks what the receiver knows about the newest accepted version. A process that does not know this kind drops
        /// the datagram.
        Inquiry {
            /// Sequence number that the answer repeats.
            seq: u64,
        },
        /// Answers an inquiry.
        Confirmation {
            /// Sequence number of the inquiry.
            seq: u64,
            /// What the sender knows.
            known: KnownVersion,
        },
        /// News about requests that end targets; not acknowledged. A process that does not know this kind drops the datagram.
        Quarantine(QuarantineNotice),
        /// Asks the owner of quotas for tokens. A process that does not know this kind drops the datagram.
        QuotaAsk {
            /// Group of organisations.
            group: u8,
            /// The ask.
            ask: QuotaAsk,
        },
        /// Answers an ask for tokens.
        QuotaAnswer {
            /// Group of organisations.
            group: u8,
            /// The answer.
            answer: QuotaAnswer,
        },
    }
}

impl ProbeKind {
    /// Returns the word for this purpose in metrics and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Ping { .. } => "ping",
            Self::Ack { .. } => "ack",
            Self::PingRequest { .. } => "ping-request",
            Self::Notice => "notice",
            Self::Inquiry { .. } => "inquiry",
            Self::Confirmation { .. } => "confirmation",
            Self::Quarantine(_) => "quarantine",
            Self::QuotaAsk { .. } => "quota-ask",
            Self::QuotaAnswer { .. } => "quota-answer",
        }
    }
}

value_type! {
    /// A datagram between two daemons.
    pub struct ProbeMessage {
        /// Name of the sender.
        pub from: Arc<str>,
        /// Configuration version that the sender has applied.
        pub applied: u64,
        /// Purpose of the datagram.
        pub kind: ProbeKind,
        /// Member records that the sender disseminates.
        pub updates: Vec<MemberRecord>,
    }
}

value_type! {
    /// Request for anti-entropy: asks a peer for its records in the buckets that differ and sends it newer ones.
    pub struct SyncRequest {
        /// The sender's own record.
        pub own: MemberRecord,
        /// Digest of each bucket of the sender's records.
        pub digests: Vec<u64>,
        /// Records that are newer than the peer's or missing there, as its reply to an earlier request showed.
        pub records: Vec<MemberRecord>,
    }
}

value_type! {
    /// Reply to a [`SyncRequest`]: the peer's records in the buckets that differ.
    pub struct SyncReply {
        /// Records in the differing buckets, with the peer's own if its bucket differs.
        pub records: Vec<MemberRecord>,
        /// Configuration version that the peer has applied.
        pub applied: u64,
    }
}
