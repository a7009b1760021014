//! `fuchsiashore drain`.

use super::{daemons::send_drain, error::CmdError, options::OperatorOptions};

/// Requests one daemon to finish its calls and exit.
pub async fn run(options: &OperatorOptions) -> Result<(), CmdError> {
    let daemon = options.daemon()?;
    send_drain(daemon).await?;
    println!("daemon at {daemon} is draining");
    Ok(())
}
