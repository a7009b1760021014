//! Macros that derive the common traits of data types.

/// Derives the common traits of a value type.
///
/// Most types that are sent between processes, stored or compared in tests are declared with it.
macro_rules! value_type {
    ($($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
        $($item)*
    };
}

/// Derives the common traits of a small copyable type that can be a map key.
macro_rules! key_type {
    ($($item:tt)*) => {
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
        )]
        $($item)*
    };
}

pub(crate) use {key_type, value_type};
