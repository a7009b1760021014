//! `fuchsiashore check`.

use super::{error::CmdError, options::OperatorOptions};

/// Checks the syntax and the rules of table files and prints all faults.
pub fn run(options: &OperatorOptions) -> Result<(), CmdError> {
    let tables = options.read_tables()?;
    println!(
        "no faults: {} routes, {} pools",
        tables.routes.len(),
        tables.pools.len()
    );
    Ok(())
}
