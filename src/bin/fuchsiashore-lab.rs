//! Stand-ins for store, targets and callers, for tests and the quick start.

use {
    fuchsiashore::lab::{self, LabError},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    env_logger::init();
    match lab::run(std::env::args_os().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(LabError::EXIT_CODE)
        }
    }
}
