//! The codec: compressed messages are smaller and decode like plain ones; hostile ones are refused before any memory
//! is allocated for their content.

mod common;

use {
    common::fuzz_config,
    fuchsiashore::codec::{self, CodecError, MAX_MESSAGE_BYTES},
    proptest::prelude::*,
};

fn names() -> Vec<String> {
    (0..400)
        .map(|number| format!("daemon-{number}@10.0.0.1"))
        .collect()
}

#[test]
fn long_messages_are_compressed_and_short_ones_are_not() {
    let long = codec::encode_compact(&names()).unwrap();
    let compressed = codec::compress(long.clone());
    assert!(
        compressed.len() * 2 < long.len(),
        "{} of {} bytes",
        compressed.len(),
        long.len()
    );
    assert_eq!(codec::decode::<Vec<String>>(&compressed).unwrap(), names());
    let short = codec::encode_compact(&"short").unwrap();
    assert_eq!(codec::compress(short.clone()), short);
}

/// Guards against an allocation of the size that a hostile length prefix states.
#[test]
fn oversized_length_prefix_is_refused() {
    // The marker of a compressed message, then its size when decompressed.
    let mut bytes = vec![0xc1];
    bytes.extend((MAX_MESSAGE_BYTES as u32 + 1).to_le_bytes());
    bytes.extend([0; 16]);
    let error = codec::decode::<Vec<String>>(&bytes).unwrap_err();
    assert!(matches!(error, CodecError::TooLarge(_)), "{error}");
}

proptest! {
    #![proptest_config(fuzz_config(1_000))]

    /// Guards against a panic on corrupt compressed bytes.
    #[test]
    fn arbitrary_compressed_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut message = vec![0xc1];
        message.extend(bytes);
        let _ = codec::decode::<Vec<String>>(&message);
    }
}
