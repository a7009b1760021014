//! Messages of the membership protocol.

use {
    super::record::MemberRecord,
    crate::macros::value_type,
    std::{net::SocketAddr, sync::Arc},
};

value_type! {
    /// What a probe datagram asks or answers.
    pub enum ProbeKind {
        /// Asks for an acknowledgement.
        Ping {
            /// Number that the acknowledgement repeats.
            seq: u64,
        },
        /// Answers a ping.
        Ack {
            /// Number of the ping.
            seq: u64,
        },
        /// Asks the receiver to ping a third daemon and to pass its acknowledgement on.
        PingRequest {
            /// Number that the passed acknowledgement repeats.
            seq: u64,
            /// Daemon to ping.
            target: Arc<str>,
            /// Its control address.
            address: SocketAddr,
        },
        /// Tells of a new configuration version.
        Notice,
    }
}

value_type! {
    /// A datagram between two daemons.
    pub struct ProbeMessage {
        /// Name of the sender.
        pub from: Arc<str>,
        /// Configuration version that the sender has applied.
        pub applied: u64,
        /// What is asked or answered.
        pub kind: ProbeKind,
        /// Records passed on.
        pub updates: Vec<MemberRecord>,
    }
}

value_type! {
    /// Asks a peer for records that differ and hands it newer ones.
    pub struct SyncRequest {
        /// The sender's own record.
        pub own: MemberRecord,
        /// Digest of each bucket of the sender's records.
        pub digests: Vec<u64>,
        /// Records that the sender knows to be newer.
        pub records: Vec<MemberRecord>,
    }
}

value_type! {
    /// The peer's records in the buckets that differ.
    pub struct SyncReply {
        /// Records, the peer's own among them.
        pub records: Vec<MemberRecord>,
        /// Configuration version that the peer has applied.
        pub applied: u64,
    }
}
