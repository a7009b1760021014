//! What daemons tell one another about requests that end targets.

use {
    super::fingerprint::RequestFingerprint,
    crate::macros::{key_type, value_type},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

key_type! {
    /// Identifies the end of a target in the fleet.
    pub struct EndId(pub u64);
}

impl EndId {
    /// Returns the id of the `number`th end that a process of a daemon saw; `instance` is the start of the process.
    pub fn new(daemon: &str, instance: u64, number: u64) -> Self {
        Self(xxh3_64_with_seed(
            daemon.as_bytes(),
            instance.wrapping_add(number),
        ))
    }
}

value_type! {
    /// Request that a target was running when it ended.
    pub struct AccusedRequest {
        /// Its fingerprint.
        pub fingerprint: RequestFingerprint,
        /// How long it had run, in milliseconds.
        pub ran_ms: u64,
        /// Whether requests with this fingerprint had run well at the same gate before.
        pub is_proven: bool,
    }
}

value_type! {
    /// End of a target that nothing had announced.
    pub struct TargetEnd {
        /// Identifies it.
        pub id: EndId,
        /// Version of the target.
        pub version: Arc<str>,
        /// What it was running.
        pub accused: Vec<AccusedRequest>,
    }
}

value_type! {
    /// News for all daemons.
    pub enum QuarantineNotice {
        /// A target ended.
        Ended(TargetEnd),
        /// A suspect ran well at a target of this version.
        Cleared {
            /// Its fingerprint.
            fingerprint: RequestFingerprint,
            /// The version.
            version: Arc<str>,
        },
        /// What the sender knows, for a daemon that may have missed it.
        Known(Vec<SuspectRecord>),
    }
}

value_type! {
    /// What a daemon knows of one suspect at targets of one version.
    pub struct SuspectRecord {
        /// Its fingerprint.
        pub fingerprint: RequestFingerprint,
        /// Version of the targets that ended.
        pub version: Arc<str>,
        /// Ends since its last good run.
        pub ends: Vec<EndId>,
        /// Whether it had run well before the first of them.
        pub is_proven: bool,
        /// How often it has been held back.
        pub holds: u32,
        /// For how much longer it is held back, in milliseconds; 0 if it is not.
        pub held_ms: u64,
        /// Time since the last end, in milliseconds.
        pub quiet_ms: u64,
    }
}
