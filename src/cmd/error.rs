//! Errors of commands, with their exit codes for scripts.

use {
    crate::{
        config::{EditError, ParseFaults},
        store::{EditRefusal, StoreError, WriteError},
    },
    miette::Diagnostic,
    std::io,
    thiserror::Error,
};

/// Error of a command.
#[derive(Debug, Error, Diagnostic)]
pub enum CmdError {
    /// The arguments are invalid.
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
        /// Error of the operating system.
        error: io::Error,
    },
    /// The tables or settings have faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faults(#[from] ParseFaults),
    /// The configuration has changed since it was read.
    #[error("{0}")]
    #[diagnostic(
        code(fuchsiashore::conflict),
        help("review `fuchsiashore diff` and apply again")
    )]
    Conflict(EditError),
    /// A rule refuses the edit.
    #[error("{0}")]
    #[diagnostic(code(fuchsiashore::refused))]
    Refused(EditRefusal),
    /// The store is unreachable or refuses the call.
    #[error("{0}")]
    #[diagnostic(
        code(fuchsiashore::store),
        help("check the address of the store; daemons continue with the configuration in force")
    )]
    Store(String),
    /// The store gave no definite answer, or its content can't be read.
    #[error("{0}")]
    #[diagnostic(code(fuchsiashore::unclear))]
    Unclear(String),
    /// Some daemons have not applied the version in time.
    #[error("version {version} is accepted but not in force at: {}", lagging.join(", "))]
    #[diagnostic(
        code(fuchsiashore::lagging),
        help("check these daemons with `fuchsiashore status`")
    )]
    Lagging {
        /// Accepted configuration version.
        version: u64,
        /// Daemons that have not applied it: name and operators' address.
        lagging: Vec<String>,
    },
    /// A daemon is unreachable or its response can't be read.
    #[error("no valid answer from the daemon at {address}: {text}")]
    #[diagnostic(
        code(fuchsiashore::daemon),
        help("name another daemon's operators address with --daemon")
    )]
    Daemon {
        /// Address that was tried.
        address: String,
        /// Error of the request.
        text: String,
    },
    /// The runtime could not be started.
    #[error("the runtime could not be started: {0}")]
    #[diagnostic(
        code(fuchsiashore::runtime),
        help("check this machine's limits on threads and open files")
    )]
    Runtime(io::Error),
}

impl CmdError {
    /// Creates a usage error.
    pub fn usage(text: impl Into<String>) -> Self {
        Self::Usage { text: text.into() }
    }

    /// Returns the exit code: 2 usage, 3 faulty tables or files, 4 conflict, 5 refused by a rule, 6 store
    /// unreachable, 7 no definite answer, 8 not in force in time, 9 daemon unreachable, 10 others.
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
