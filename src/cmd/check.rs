//! `fuchsiashore check`.

use super::{error::CmdError, options::OperatorOptions};

/// Checks table files whole.
pub fn run(options: &OperatorOptions) -> Result<(), CmdError> {
    let tables = options.read_tables()?;
    println!(
        "no faults: {} routes, {} pools",
        tables.routes.len(),
        tables.pools.len()
    );
    Ok(())
}
