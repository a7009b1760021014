//! The project's own macros.

/// Derives the common set of traits for a plain value type.
///
/// Every type that crosses a process border or is compared in tests is declared through this macro.
macro_rules! value_type {
    ($($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
        $($item)*
    };
}

/// Derives the common set of traits for a small copyable value type that can be a map key.
macro_rules! key_type {
    ($($item:tt)*) => {
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
        )]
        $($item)*
    };
}

pub(crate) use {key_type, value_type};
