//! Help texts.

const GENERAL: &str = "\
Usage: fuchsiashore COMMAND [OPTIONS] [FILES]

Commands:
  check     check table files
  diff      compare table files with the accepted configuration
  apply     write table files as the accepted configuration
  show      print the accepted configuration, or an earlier version of it
  history   list recent changes
  undo      restore an earlier version as a new one
  moves     list moves, or cancel one
  evacuate  keep calls away from the targets of a data centre, or take that back
  status    show the daemons and the versions they have in force
  timeline  print the merged events of all daemons
  drain     make a daemon finish its calls and exit
  explain   print the log lines of one call from the daemons' logs

Options of all commands:
  --settings FILE     INI file with [operator] store, daemon, author (or FUCHSIASHORE_SETTINGS)
  --store HOST:PORT   the platform's key-value service
  --daemon HOST:PORT  operators address of any daemon
  --json              output for scripts
  --help              help on a command

Exit codes: 0 done, 2 usage, 3 faulty tables or files, 4 conflict with another change, 5 refused by a rule,
6 store unreachable, 7 no definite answer, 8 not in force everywhere in time, 9 daemon unreachable, 10 others.
";

const CHANGE_OPTIONS: &str = "
  --message TEXT      reason for the change (required)
  --author NAME       author of the change; the user's name if left out
  --wait              wait until the version is in force at every daemon; list those that lag
  --wait-ms N         wait at most N milliseconds, 30000 if left out
";

/// Returns the help text of a command, or the general one.
pub fn help_text(command: &str) -> String {
    let (line, example, options) = match command {
        "check" => (
            "check FILES\n\nChecks table files and reports all faults.",
            "fuchsiashore check routes.ini pools.ini",
            "",
        ),
        "explain" => (
            "explain --call ID LOGS\n\nPrints the lines of the daemons' logs with the id of a call or of one of its attempts, ordered by time.",
            "fuchsiashore explain --call 9c41d07be2a35f68 logs/*.log",
            "",
        ),
        "diff" => (
            "diff FILES\n\nShows what `apply` would change.",
            "fuchsiashore diff --store 10.0.0.5:8500 routes.ini pools.ini",
            "",
        ),
        "apply" => (
            "apply FILES\n\nShows the difference and writes the files as the accepted configuration.\n\n  --again             retry a version that was taken back",
            "fuchsiashore apply --message 'booking 2026.12.1' --wait routes.ini pools.ini",
            CHANGE_OPTIONS,
        ),
        "show" => (
            "show [--version N]\n\nPrints the tables of the accepted configuration or of version N.",
            "fuchsiashore show --version 41 > tables.ini",
            "",
        ),
        "history" => (
            "history\n\nLists recent changes: version, time, author, message.",
            "fuchsiashore history --json",
            "",
        ),
        "undo" => (
            "undo [--version N]\n\nRestores the version before the last change, or version N, as a new version.",
            "fuchsiashore undo --message 'wrong pool' --wait",
            CHANGE_OPTIONS,
        ),
        "moves" => (
            "moves [--cancel POOL --message TEXT]\n\nLists open moves with share and phase, and closed ones with verdict and reason,\nor cancels an open one.",
            "fuchsiashore moves --cancel booking --message 'wait for the weekend'",
            "",
        ),
        "evacuate" => (
            "evacuate DATA-CENTRE [--back]\n\nKeeps all calls away from the targets of a data centre. Its daemons go on serving their callers, elsewhere.\n\n  --back              take the evacuation back",
            "fuchsiashore evacuate fra-2 --message 'power works' --wait",
            CHANGE_OPTIONS,
        ),
        "status" => (
            "status\n\nShows every daemon with its target and the version in force.",
            "fuchsiashore status --json",
            "",
        ),
        "timeline" => (
            "timeline [--pool P] [--move N] [--name DAEMON] [--since TIME]\n\nPrints the merged events of all daemons in causal order.",
            "fuchsiashore timeline --move 42",
            "",
        ),
        "drain" => (
            "drain --daemon HOST:PORT\n\nMakes one daemon refuse new calls, finish those in flight and exit.",
            "fuchsiashore drain --daemon 10.0.0.7:7003",
            "",
        ),
        _ => return GENERAL.to_owned(),
    };
    format!("Usage: fuchsiashore {line}\n{options}\nExample: {example}\n")
}
