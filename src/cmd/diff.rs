//! `fuchsiashore diff`.

use {
    super::{change::read_head, error::CmdError, options::OperatorOptions},
    crate::config::diff_tables,
};

/// Prints the difference between the accepted configuration and table files.
pub async fn run(options: &OperatorOptions) -> Result<(), CmdError> {
    let tables = options.read_tables()?;
    let head = read_head(&options.store()?).await?;
    let diff = diff_tables(&head.tables(), &tables);
    if options.json {
        println!("{}", serde_json::json!({ "version": head.version, "diff": diff }));
    } else if diff.is_empty() {
        println!("no difference from version {}", head.version);
    } else {
        print!("against version {}:\n{diff}", head.version);
    }
    Ok(())
}
