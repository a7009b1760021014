//! The daemon that runs beside each target.

use {
    fuchsiashore::{
        daemon::{self, DaemonEdges},
        settings::DaemonSettings,
    },
    lexopt::prelude::{Long, Short},
    miette::{IntoDiagnostic, Result},
    std::path::PathBuf,
};

const USAGE: &str = "\
Usage: fuchsiashored --settings FILE [--check-settings]

Runs the daemon beside a target: proxy for callers, gate of the target, member of the mesh.

  --settings FILE     INI file with the sections [daemon] and [target]
  --check-settings    check the file, report every fault and exit
  --help              show this text

Example: fuchsiashored --settings /etc/fuchsiashore/daemon.ini
SIGTERM drains: new calls are refused, calls in flight are finished, then the process exits.
";

fn main() -> Result<()> {
    daemon::start_logs();
    let mut settings = None;
    let mut check_only = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().into_diagnostic()? {
        match arg {
            Long("settings") => settings = Some(PathBuf::from(parser.value().into_diagnostic()?)),
            Long("check-settings") => check_only = true,
            Long("help") | Short('h') => {
                print!("{USAGE}");
                return Ok(());
            }
            other => {
                return Err(miette::miette!(
                    help = "see fuchsiashored --help",
                    "{}",
                    other.unexpected()
                ));
            }
        }
    }
    let Some(path) = settings else {
        return Err(miette::miette!(
            help = "see fuchsiashored --help",
            "--settings FILE is missing"
        ));
    };
    let settings = DaemonSettings::load(&path)?;
    if check_only {
        println!("{}: no faults", path.display());
        return Ok(());
    }
    Ok(daemon::run(settings, DaemonEdges::own())?)
}
