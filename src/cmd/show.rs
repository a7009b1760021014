//! `fuchsiashore show`.

use {
    super::{
        change::{read_head, read_version},
        error::CmdError,
        options::OperatorOptions,
    },
    crate::config::render_tables,
};

/// Prints the tables of the accepted configuration or of an earlier version.
pub async fn run(options: &OperatorOptions) -> Result<(), CmdError> {
    let store = options.store()?;
    let head = read_head(&store).await?;
    let version = options.version.unwrap_or(head.version);
    let tables = read_version(&store, &head, version).await?;
    if options.json {
        println!("{}", serde_json::json!({ "version": version, "tables": tables }));
    } else {
        print!("# version {version}\n\n{}", render_tables(&tables));
    }
    Ok(())
}
