//! Codec of messages between processes and of stored values: `MessagePack` with field names, compressed between
//! daemons.

use {
    lz4_flex::block::{DecompressError, compress_prepend_size, decompress_size_prepended, uncompressed_size},
    serde::{Serialize, de::DeserializeOwned},
    thiserror::Error,
};

/// Maximum size of a control message or stored value, in bytes after decompression.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// First byte of a compressed message; no `MessagePack` value starts with it.
const COMPRESSED: u8 = 0xc1;
/// Minimum size of messages that are compressed, in bytes; smaller ones fit into one packet anyway.
const COMPRESS_FROM_BYTES: usize = 1_400;

/// Error of encoding or decoding a message.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes are not a message of the expected type.
    #[error("message can't be decoded ({0}); check that both processes run compatible versions")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The value can't be represented in the encoding.
    #[error("message can't be encoded ({0}); report this as a fault")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The message claims to be compressed but can't be decompressed.
    #[error("message can't be decompressed ({0}); check that both processes run compatible versions")]
    Decompress(#[from] DecompressError),
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes is over the limit; send less at once")]
    TooLarge(usize),
}

/// Encodes a value with field names.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec_named(value)?)
}

/// Encodes a value without field names, for datagrams; fields are identified by their order.
pub fn encode_compact<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec(value)?)
}

/// Compresses an encoded message; returns one below `COMPRESS_FROM_BYTES` unchanged.
pub fn compress(bytes: Vec<u8>) -> Vec<u8> {
    if bytes.len() < COMPRESS_FROM_BYTES {
        return bytes;
    }
    let mut compressed = vec![COMPRESSED];
    compressed.extend(compress_prepend_size(&bytes));
    compressed
}

/// Decodes a message, compressed or not. Fails if it is larger than [`MAX_MESSAGE_BYTES`] when decompressed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let Some((&COMPRESSED, compressed)) = bytes.split_first() else {
        return decode_plain(bytes);
    };
    // The sender states the size, so it is checked before memory is allocated for it.
    let (size, _) = uncompressed_size(compressed)?;
    if size > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge(size));
    }
    decode_plain(&decompress_size_prepended(compressed)?)
}

fn decode_plain<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    Ok(rmp_serde::from_slice(bytes)?)
}
