//! Command-line program for operators.

use {fuchsiashore::cmd, std::process::ExitCode};

fn main() -> ExitCode {
    env_logger::init();
    match cmd::run(std::env::args_os().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}
