//! `fuchsiashore history`.

use super::{change::read_head, error::CmdError, options::OperatorOptions};

/// Prints recent changes, newest last.
pub async fn run(options: &OperatorOptions) -> Result<(), CmdError> {
    let head = read_head(&options.store()?).await?;
    if options.json {
        println!("{}", serde_json::json!(head.changes));
        return Ok(());
    }
    for note in &head.changes {
        println!(
            "{:>6}  {}  {}  {}",
            note.version, note.at, note.author, note.message
        );
    }
    Ok(())
}
