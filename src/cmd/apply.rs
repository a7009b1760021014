//! `fuchsiashore apply`.

use {
    super::{
        change::{read_head, submit_change},
        error::CmdError,
        options::OperatorOptions,
    },
    crate::{clock::ProcessClock, config::TableEdit},
};

/// Writes the tables of the files as the accepted configuration.
pub async fn run(options: &OperatorOptions, clock: &ProcessClock) -> Result<(), CmdError> {
    let tables = options.read_tables()?;
    let head = read_head(&options.store()?).await?;
    submit_change(
        options,
        clock,
        &head,
        TableEdit::Replace {
            tables,
            again: options.again,
        },
    )
    .await
}
