//! The platform's key-value service: its client and the writing of accepted changes.

mod http_store;
mod writer;

use {std::time::Duration, thiserror::Error};

pub use {
    http_store::{HttpStore, KvRow},
    writer::{ChangeWriter, EditRefusal, WriteError, WriteEvent, WriteStep, write_change},
};

/// Key of the accepted configuration.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys that hold the tables of earlier versions.
pub const HISTORY_PREFIX: &str = "config/history";
/// Prefix of the keys that hold the progress of open moves.
pub const MOVES_PREFIX: &str = "moves";
/// Prefix of the keys that hold addresses to join at, one per data centre.
pub const SEEDS_PREFIX: &str = "seeds";

/// A value of the store with the index that a compare-and-swap must name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreValue {
    /// The bytes.
    pub data: Vec<u8>,
    /// Index of the last change of this key.
    pub index: u64,
}

/// A call to the store that failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The call was never made.
    #[error("store at {0} can't be reached; the change was not made, try again when it is back")]
    Unreachable(String),
    /// The call may have taken effect.
    #[error("store gave no clear answer ({0}); look with `fuchsiashore show` before trying again")]
    Ambiguous(String),
    /// The store answered with an error.
    #[error("store refused the call ({0}); check its address and limits in the settings")]
    Refused(String),
}

/// The edge to the platform's key-value service.
pub trait StoreClient: Send + Sync {
    /// Reads a key.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<StoreValue>, StoreError>> + Send;

    /// Waits until a key's index differs from `index` or `wait` is over, then reads it.
    fn watch(
        &self,
        key: &str,
        index: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<StoreValue>, StoreError>> + Send;

    /// Writes a key if its index is still `index` (0: if the key does not exist); tells whether it did.
    fn swap(
        &self,
        key: &str,
        data: Vec<u8>,
        index: u64,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Writes a key whatever it holds.
    fn write(&self, key: &str, data: Vec<u8>) -> impl Future<Output = Result<(), StoreError>> + Send;
}
