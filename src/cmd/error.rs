//! What can go wrong with a verb, with the exit code for scripts.

use {
    crate::{
        config::{EditError, ParseFaults},
        store::{EditRefusal, StoreError, WriteError},
    },
    miette::Diagnostic,
    std::io,
    thiserror::Error,
};

/// A verb that failed.
#[derive(Debug, Error, Diagnostic)]
pub enum CmdError {
    /// The arguments can't be used.
    #[error("{text}")]
    #[diagnostic(code(fuchsiashore::usage), help("see fuchsiashore --help"))]
    Usage {
        /// What is wrong.
        text: String,
    },
    /// A file can't be read.
    #[error("file {path} can't be read: {error}")]
    #[diagnostic(code(fuchsiashore::file), help("give the path of a readable file"))]
    File {
        /// Path of the file.
        path: String,
        /// What the system says.
        error: io::Error,
    },
    /// The tables or settings have faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faults(#[from] ParseFaults),
    /// Somebody else changed the configuration first.
    #[error("{0}")]
    #[diagnostic(code(fuchsiashore::conflict), help("run `fuchsiashore diff` and apply again"))]
    Conflict(EditError),
    /// The edit is refused by a rule.
    #[error("{0}")]
    #[diagnostic(code(fuchsiashore::refused))]
    Refused(EditRefusal),
    /// The store can't be reached.
    #[error("{0}")]
    #[diagnostic(
        code(fuchsiashore::store),
        help("check the address of the store; daemons go on with what is in force")
    )]
    Store(String),
    /// The store gave no clear answer.
    #[error("{0}")]
    #[diagnostic(code(fuchsiashore::unclear))]
    Unclear(String),
    /// The version is not in force everywhere in time.
    #[error("version {version} is accepted but not in force at: {}", lagging.join(", "))]
    #[diagnostic(
        code(fuchsiashore::lagging),
        help("look at these daemons with `fuchsiashore status`")
    )]
    Lagging {
        /// The version.
        version: u64,
        /// Daemons that lag.
        lagging: Vec<String>,
    },
    /// A daemon can't be reached.
    #[error("daemon at {address} can't be reached: {text}")]
    #[diagnostic(
        code(fuchsiashore::daemon),
        help("name another daemon's operators address with --daemon")
    )]
    Daemon {
        /// Address that was tried.
        address: String,
        /// What went wrong.
        text: String,
    },
    /// The runtime could not be made.
    #[error("the runtime could not be started: {0}")]
    #[diagnostic(code(fuchsiashore::runtime), help("look at the limits of this machine"))]
    Runtime(io::Error),
}

impl CmdError {
    /// Makes a usage error.
    pub fn usage(text: impl Into<String>) -> Self {
        Self::Usage { text: text.into() }
    }

    /// Returns the exit code: 2 usage, 3 faulty tables or files, 4 conflict, 5 refused by a rule, 6 store not
    /// reached, 7 no clear answer, 8 not in force in time, 9 daemon not reached, 10 others.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::File { .. } | Self::Faults(_) => 3,
            Self::Conflict(_) => 4,
            Self::Refused(_) => 5,
            Self::Store(_) => 6,
            Self::Unclear(_) => 7,
            Self::Lagging { .. } => 8,
            Self::Daemon { .. } => 9,
            Self::Runtime(_) => 10,
        }
    }
}

impl From<WriteError> for CmdError {
    fn from(error: WriteError) -> Self {
        match error {
            WriteError::Refused(EditRefusal::Edit(edit @ EditError::Conflict { .. })) => Self::Conflict(edit),
            WriteError::Refused(refusal) => Self::Refused(refusal),
            WriteError::NotMade => Self::Store(error.to_string()),
            WriteError::Unclear => Self::Unclear(error.to_string()),
        }
    }
}

impl From<StoreError> for CmdError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Unreachable(_) | StoreError::Refused(_) => Self::Store(error.to_string()),
            StoreError::Ambiguous(_) => Self::Unclear(error.to_string()),
        }
    }
}
