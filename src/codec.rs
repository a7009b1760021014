//! The one codec between processes and for stored values: `MessagePack` with field names.

use {
    serde::{Serialize, de::DeserializeOwned},
    thiserror::Error,
};

/// The largest control message or stored value that is read, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// A message that could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes are not a message of the expected type.
    #[error("message can't be decoded ({0}); check that both processes run compatible versions")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The value has no representation on the wire.
    #[error("message can't be encoded ({0}); report this as a fault")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes is over the limit; send less at once")]
    TooLarge(usize),
}

/// Encodes a message.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec_named(value)?)
}

/// Encodes a message without field names, for datagrams.
pub fn encode_compact<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec(value)?)
}

/// Decodes a message of at most [`MAX_MESSAGE_BYTES`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    Ok(rmp_serde::from_slice(bytes)?)
}
