//! Organisations: who may call, by which keys, how urgently and how often.

use {
    super::tables::{MAX_NAME_BYTES, MAX_PRIORITY, TableFault},
    crate::macros::value_type,
    indexmap::IndexMap,
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _},
    sha2::{Digest as _, Sha256},
    std::{
        fmt::{Debug, Display, Formatter, Write},
        str::FromStr,
        sync::Arc,
    },
    thiserror::Error,
};

/// Highest rate and burst of a quota.
pub const MAX_QUOTA: f64 = 1e9;
/// Size of a key's digest, in bytes.
const DIGEST_BYTES: usize = 16;
/// Size of a key's fingerprint, in bytes.
const FINGERPRINT_BYTES: usize = 4;
/// Prefix of a digest in text, which tells it from a key.
const DIGEST_PREFIX: &str = "sha256:";

/// Digest of a key. Tables, messages and logs have digests only, so that none of them gives a key away; and a comparison of
/// digests takes a time that tells nothing of the key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let whole = Sha256::digest(key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Self(digest)
    }

    /// Returns the first bytes in hexadecimal digits, by which operators tell keys apart.
    pub fn fingerprint(&self) -> String {
        hex(&self.0[..FINGERPRINT_BYTES])
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.fingerprint())
    }
}

impl Display for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{DIGEST_PREFIX}{}", hex(&self.0))
    }
}

/// Text that is not the digest of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not the digest of a key; write sha256: and 32 hexadecimal digits")]
pub struct NotADigest;

impl FromStr for KeyDigest {
    type Err = NotADigest;

    fn from_str(text: &str) -> Result<Self, NotADigest> {
        let digits = text.strip_prefix(DIGEST_PREFIX).ok_or(NotADigest)?;
        if digits.len() != 2 * DIGEST_BYTES || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(NotADigest);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (at, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&digits[2 * at..2 * at + 2], 16).map_err(|_| NotADigest)?;
        }
        Ok(Self(digest))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

value_type! {
    /// How many calls an organisation may make, at all daemons together.
    #[derive(Copy)]
    pub struct CallQuota {
        /// Calls per second.
        pub rate_per_s: f64,
        /// Calls at once after a quiet time, beyond the rate.
        pub burst: f64,
    }
}

value_type! {
    /// One organisation.
    #[derive(Default)]
    pub struct OrganisationEntry {
        /// Digests of the keys by which its callers are known.
        pub keys: Vec<KeyDigest>,
        /// Rank of its calls under load, which goes before the rank of the route; 0 is the most urgent.
        pub priority: u8,
        /// How many calls it may make; `None` for any number.
        pub quota: Option<CallQuota>,
    }
}

/// Adds the faults of a table of organisations. A name has to fit into a header of the target.
pub(super) fn check_organisations(
    organisations: &IndexMap<Arc<str>, OrganisationEntry>,
    faults: &mut Vec<TableFault>,
) {
    let mut holders: IndexMap<KeyDigest, &Arc<str>> = IndexMap::new();
    for (name, entry) in organisations {
        let mut fault = |remedy: &'static str| {
            faults.push(TableFault::Organisation {
                name: Arc::clone(name),
                remedy,
            });
        };
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(|byte| byte.is_ascii_graphic())
        {
            fault("the name must be 1 to 200 visible ASCII characters without spaces");
        }
        if entry.priority > MAX_PRIORITY {
            fault("priority must be 0 to 9");
        }
        let is_allowed = |number: f64| (0.0..=MAX_QUOTA).contains(&number);
        if let Some(quota) = entry.quota
            && !(is_allowed(quota.rate_per_s) && quota.rate_per_s > 0.0 && is_allowed(quota.burst))
        {
            fault("a quota needs a rate above 0 and a burst of at least 0, both up to 1000000000");
        }
        for key in &entry.keys {
            if let Some(holder) = holders.insert(*key, name) {
                faults.push(TableFault::SharedKey {
                    first: Arc::clone(holder),
                    second: Arc::clone(name),
                    fingerprint: key.fingerprint(),
                });
            }
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
