//! The platform's key-value service: its client, and writes of configuration changes by compare-and-swap.

mod generation;
mod http_store;
mod writer;

use {std::time::Duration, thiserror::Error};

pub use {
    generation::{GenerationChange, StoreGeneration},
    http_store::{HttpStore, KvRow},
    writer::{ChangeWriter, EditRefusal, WriteError, WriteEvent, WriteStep, write_change},
};

/// Key of the accepted configuration.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys that hold the tables of earlier versions.
pub const HISTORY_PREFIX: &str = "config/history";
/// Prefix of the keys that hold the progress of open moves.
pub const MOVES_PREFIX: &str = "moves";
/// Prefix of the keys that hold seeds: addresses of daemons to join the mesh at, by data centre.
pub const SEEDS_PREFIX: &str = "seeds";

/// A stored value with the index that a compare-and-swap must state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreValue {
    /// The stored bytes.
    pub data: Vec<u8>,
    /// Index of the last change of this key.
    pub index: u64,
}

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The connection failed before the call was sent; it had no effect.
    #[error("store at {0} is unreachable; the change was not made, retry when the store is back")]
    Unreachable(String),
    /// The call has no definite result and may have taken effect.
    #[error("store gave no definite answer ({0}); check with `fuchsiashore show` before retrying")]
    Ambiguous(String),
    /// The store answered with a client error or a malformed body.
    #[error("store refused the call ({0}); check its address and limits in the settings")]
    Refused(String),
}

/// Client interface to the platform's key-value service.
pub trait StoreClient: Send + Sync {
    /// Reads a key; `None` if it does not exist.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<StoreValue>, StoreError>> + Send;

    /// Waits until the key's index differs from `index`, for at most `wait`, then reads the key.
    fn watch(
        &self,
        key: &str,
        index: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<StoreValue>, StoreError>> + Send;

    /// Writes a key if its index is still `index` (0: if the key does not exist). Returns whether it was written.
    fn swap(
        &self,
        key: &str,
        data: Vec<u8>,
        index: u64,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Writes a key unconditionally.
    fn write(&self, key: &str, data: Vec<u8>) -> impl Future<Output = Result<(), StoreError>> + Send;
}
