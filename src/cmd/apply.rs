//! `fuchsiashore apply`.

use {
    super::{
        change::{make_change, read_head},
        error::CmdError,
        options::OperatorOptions,
    },
    crate::{clock::ProcessClock, config::TableEdit},
};

/// Makes table files the accepted configuration.
pub async fn run(options: &OperatorOptions, clock: &ProcessClock) -> Result<(), CmdError> {
    let tables = options.read_tables()?;
    let head = read_head(&options.store()?).await?;
    make_change(
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
