//! The operators' verbs, one file each behind one [`run`].

mod apply;
mod change;
mod check;
mod daemons;
mod diff;
mod drain;
mod error;
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

/// Runs the verb named by the arguments, the program's name left out.
pub fn run(args: impl IntoIterator<Item = std::ffi::OsString>) -> Result<(), CmdError> {
    let options = OperatorOptions::parse(args)?;
    if options.wants_help {
        print!("{}", usage::text_of(&options.verb));
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CmdError::Runtime)?;
    runtime.block_on(run_verb(&options))
}

async fn run_verb(options: &OperatorOptions) -> Result<(), CmdError> {
    let clock = ProcessClock::start();
    match options.verb.as_str() {
        "check" => check::run(options),
        "diff" => diff::run(options).await,
        "apply" => apply::run(options, &clock).await,
        "show" => show::run(options).await,
        "history" => history::run(options).await,
        "undo" => undo::run(options, &clock).await,
        "moves" => moves::run(options, &clock).await,
        "status" => status::run(options).await,
        "timeline" => timeline::run(options).await,
        "drain" => drain::run(options).await,
        "explain" => explain::run(options),
        verb => Err(CmdError::usage(format!("verb `{verb}` is not known"))),
    }
}
