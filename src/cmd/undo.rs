//! `fuchsiashore undo`.

use {
    super::{
        change::{read_head, read_version, submit_change},
        error::CmdError,
        options::OperatorOptions,
    },
    crate::{clock::ProcessClock, config::TableEdit},
};

/// Restores the tables of an earlier version as a new version.
pub async fn run(options: &OperatorOptions, clock: &ProcessClock) -> Result<(), CmdError> {
    let store = options.store()?;
    let head = read_head(&store).await?;
    let version = options.version.unwrap_or(head.version.saturating_sub(1));
    if version == 0 {
        return Err(CmdError::usage("there is no earlier version to restore"));
    }
    let tables = read_version(&store, &head, version).await?;
    submit_change(options, clock, &head, TableEdit::Undo { tables }).await
}
