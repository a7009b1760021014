//! Commands of the operators' program, one module each; [`run`] dispatches them.

mod apply;
mod change;
mod check;
mod daemons;
mod diff;
mod drain;
mod error;
mod evacuate;
mod explain;
mod history;
mod moves;
mod options;
mod show;
mod status;
mod timeline;
mod undo;
mod usage;

pub use {
    error::CmdError,
    options::{OperatorOptions, OperatorSettings},
};

use crate::clock::ProcessClock;

/// Parses the arguments, without the program's name, and runs the command.
pub fn run(args: impl IntoIterator<Item = std::ffi::OsString>) -> Result<(), CmdError> {
    let options = OperatorOptions::parse(args)?;
    if options.wants_help {
        print!("{}", usage::help_text(&options.command));
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CmdError::Runtime)?;
    runtime.block_on(run_command(&options))
}

async fn run_command(options: &OperatorOptions) -> Result<(), CmdError> {
    let clock = ProcessClock::start();
    match options.command.as_str() {
        "check" => check::run(options),
        "diff" => diff::run(options).await,
        "apply" => apply::run(options, &clock).await,
        "show" => show::run(options).await,
        "history" => history::run(options).await,
        "undo" => undo::run(options, &clock).await,
        "moves" => moves::run(options, &clock).await,
        "evacuate" => evacuate::run(options, &clock).await,
        "status" => status::run(options).await,
        "timeline" => timeline::run(options).await,
        "drain" => drain::run(options).await,
        "explain" => explain::run(options),
        command => Err(CmdError::usage(format!("unknown command `{command}`"))),
    }
}
