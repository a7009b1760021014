//! Help texts.

const GENERAL: &str = "\
Usage: fuchsiashore VERB [OPTIONS] [FILES]

Verbs:
  check     check table files
  diff      compare table files with the accepted configuration
  apply     make table files the accepted configuration
  show      print the accepted configuration, or an earlier version of it
  history   list recent changes
  undo      bring back an earlier version as a new one
  moves     list moves, or cancel one
  status    show the daemons and what they have in force
  timeline  print the merged events of all daemons
  drain     make a daemon finish its work and exit
  explain   print what the daemons' logs say of one call

Options of all verbs:
  --settings FILE     INI file with [operator] store, daemon, author (or FUCHSIASHORE_SETTINGS)
  --store HOST:PORT   the platform's key-value service
  --daemon HOST:PORT  operators address of any daemon
  --json              output for scripts
  --help              help on a verb

Exit codes: 0 done, 2 usage, 3 faulty tables or files, 4 conflict with another change, 5 refused by a rule,
6 store not reached, 7 no clear answer, 8 not in force everywhere in time, 9 daemon not reached, 10 others.
";

const CHANGE_OPTIONS: &str = "
  --message TEXT      why (required)
  --author NAME       who; the user's name if left out
  --wait              wait until the version is in force at every daemon, and name those that lag
  --wait-ms N         wait at most N milliseconds, 30000 if left out
";

/// Returns the help text of a verb, or the general one.
pub fn text_of(verb: &str) -> String {
    let (line, example, options) = match verb {
        "check" => (
            "check FILES\n\nChecks table files whole and names every fault.",
            "fuchsiashore check routes.ini pools.ini",
            "",
        ),
        "explain" => (
            "explain --call ID LOGS\n\nPrints the lines of the daemons' logs that name a call or one of its attempts, in the order of time.",
            "fuchsiashore explain --call 9c41d07be2a35f68 logs/*.log",
            "",
        ),
        "diff" => (
            "diff FILES\n\nShows what `apply` would change.",
            "fuchsiashore diff --store 10.0.0.5:8500 routes.ini pools.ini",
            "",
        ),
        "apply" => (
            "apply FILES\n\nShows the difference and makes the files the accepted configuration.\n\n  --again             try a version once more that was taken back",
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
            "undo [--version N]\n\nBrings back the version before the last change, or version N, as a new version.",
            "fuchsiashore undo --message 'wrong pool' --wait",
            CHANGE_OPTIONS,
        ),
        "moves" => (
            "moves [--cancel POOL --message TEXT]\n\nLists open moves with share and phase and closed ones with verdict and reason,\nor cancels an open one.",
            "fuchsiashore moves --cancel booking --message 'wait for the weekend'",
            "",
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
            "drain --daemon HOST:PORT\n\nMakes one daemon refuse new work, finish what runs and exit.",
            "fuchsiashore drain --daemon 10.0.0.7:7003",
            "",
        ),
        _ => return GENERAL.to_owned(),
    };
    format!("Usage: fuchsiashore {line}\n{options}\nExample: {example}\n")
}
