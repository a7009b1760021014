//! Settings and tables: the example files load, all faults are reported together, and tables survive a round trip.

use {
    fuchsiashore::{
        cmd::OperatorSettings,
        config::{diff_tables, parse_tables, render_tables},
        file_watch::FileWatch,
        settings::DaemonSettings,
    },
    std::{fs, path::Path, sync::Arc},
};

/// Template of the settings on the users' platform.
const PLATFORM_TEMPLATE: &str = include_str!("../deploy/platform-daemon.ini");
/// Template of the settings that every deployment shares.
const LEAST_TEMPLATE: &str = include_str!("../deploy/daemon.ini");

fn example(name: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name)).unwrap()
}

fn tables_of(text: &str) -> Result<fuchsiashore::config::ConfigTables, fuchsiashore::config::ParseFaults> {
    parse_tables(&[(Arc::from("tables.ini"), text.to_owned())])
}

#[test]
fn example_files_load() {
    let daemon = DaemonSettings::parse("daemon.ini", &example("daemon.ini")).unwrap();
    assert_eq!(
        (&*daemon.name, daemon.target.slots, daemon.peers.len()),
        ("booking-3", 12, 3)
    );
    let operator = OperatorSettings::parse("operator.ini", &example("operator.ini")).unwrap();
    assert_eq!(operator.author.as_deref(), Some("mette"));
    assert_eq!(tables_of(&example("tables.ini")).unwrap().routes.len(), 2);
}

#[test]
fn tables_survive_a_round_trip() {
    let tables = tables_of(&example("tables.ini")).unwrap();
    assert_eq!(tables_of(&render_tables(&tables)).unwrap(), tables);
}

#[test]
fn organisations_are_shown_without_their_keys() {
    let text = |keys: &str, rate: &str| {
        format!(
            "{}\n[organisation north]\nkeys = {keys}\npriority = 1\nrate_per_s = {rate}\nburst = 20\n",
            example("tables.ini")
        )
    };
    let tables = tables_of(&text("first-key second-key", "12.5")).unwrap();
    let shown = render_tables(&tables);
    assert_eq!(tables_of(&shown).unwrap(), tables);
    assert!(!shown.contains("-key"));
    let changed = tables_of(&text("second-key", "10")).unwrap();
    insta::assert_snapshot!(diff_tables(&tables, &changed).to_string());
}

#[test]
fn unusable_organisations_are_refused_with_the_reason() {
    let organisations = "[organisation two words]\n[organisation a]\nkeys = k1 k2\nrate_per_s = -1\n[organisation b]\nkeys = k2\n\
                         rate_per_s = 1e300\nburst = inf\npriority = 10\n[organisation c]\nrate_per_s = NaN\n";
    let faults = tables_of(&format!("{}\n{organisations}", example("tables.ini"))).unwrap_err();
    insta::assert_snapshot!(faults.to_string());
}

#[test]
fn all_faults_of_settings_are_named_at_once() {
    let text = "[daemon]\nname = a\nmesh = m\nregion = r\ndata_centre = d\ncalls = here\ngate = 1.2.3.4:1\n\
                control = 1.2.3.4:2\nstore = s:1\ntraffic_threads = 0\ntypo = 1\nname = b\n\
                [target]\nservice = s\nversion = v\naddress = 1.2.3.4:3\nslots = 9\nconnections = 3\n[other]\n";
    let faults = DaemonSettings::parse("daemon.ini", text).unwrap_err();
    insta::assert_snapshot!(faults.to_string());
}

// Guards against daemons that don't start because a budget computed by the platform has a fraction.
#[test]
fn extra_retries_with_a_fraction_are_rounded_down() {
    let read = |number: &str| {
        let text = example("daemon.ini").replace("extra_retries = 240", &format!("extra_retries = {number}"));
        DaemonSettings::parse("daemon.ini", &text).map(|settings| settings.extra_retries)
    };
    for (number, expected) in [
        ("36.07843137254902", 36),
        ("29.9", 29),
        ("0.5", 0),
        ("216", 216),
        ("1000000", 1_000_000),
    ] {
        assert_eq!(read(number), Ok(expected), "{number}");
    }
    for number in [
        "-1", "-0.5", "1000001", "NaN", "inf", "1e3", ".5", "5.", "many", "1.2.3", "1,5",
    ] {
        assert!(read(number).is_err(), "{number}");
    }
}

/// Guards against daemons that don't start because the platform states the time for a stop in seconds with a fraction.
#[test]
fn drain_limit_in_seconds_may_have_a_fraction() {
    let read = |seconds: &str| {
        let text = example("daemon.ini");
        let text = text.replace("drain_limit_ms = 60000", &format!("drain_limit_s = {seconds}"));
        DaemonSettings::parse("daemon.ini", &text).map(|settings| settings.drain_limit_ms)
    };
    for (seconds, expected_ms) in [("6", 6_000), ("6.5", 6_500), ("0.0019", 1), ("3600", 3_600_000)] {
        assert_eq!(read(seconds), Ok(expected_ms), "{seconds}");
    }
    for seconds in ["0", "0.0001", "-1", "3601", "NaN", "inf", "6s", "6,5", ""] {
        assert!(read(seconds).is_err(), "{seconds}");
    }
    for template in [PLATFORM_TEMPLATE, LEAST_TEMPLATE] {
        let line = template.lines().find(|line| line.contains("bounds.grace_s"));
        assert_eq!(line, Some("drain_limit_s = {{bounds.grace_s}}"));
    }
}

/// Guards against templates that drift apart: the platform's has what is shared, line by line, and what only it fills.
#[test]
fn template_of_the_platform_adds_to_the_shared_one_only() {
    let mut shared = LEAST_TEMPLATE.lines().peekable();
    let lines = PLATFORM_TEMPLATE.lines();
    let added: Vec<&str> = lines.filter(|line| shared.next_if_eq(line).is_none()).collect();
    assert_eq!(
        shared.next(),
        None,
        "this line is missing from the platform's template"
    );
    insta::assert_debug_snapshot!(added);
}

#[test]
fn all_faults_of_tables_are_named_at_once() {
    let text = "key = 1\n[route a]\npath = stock\npool = none\ntimeout_ms = 0\nmethods = GET\n\
                [route b]\npath = /x\npool = p\nrepeat = maybe\n[route c]\npath = /x\npool = p\n\
                [pool p]\nservice = s\nversion = v 1\nfinish_by = tomorrow\n[pool p]\nservice = s\nversion = v\n[thing]\n";
    insta::assert_snapshot!(tables_of(text).unwrap_err().to_string());
}

#[test]
fn difference_of_tables_is_shown_by_key() {
    let old = tables_of(&example("tables.ini")).unwrap();
    let mut new = old.clone();
    new.routes.shift_remove("reserve");
    new.pools["booking"].version = "2026.12.2".into();
    let mut added = old.routes["stock-check"].clone();
    added.path = "/shelf".into();
    new.routes.insert("shelf".into(), added);
    insta::assert_snapshot!(diff_tables(&old, &new).to_string());
}

#[test]
fn file_watch_reports_each_change_once_and_none_while_the_file_is_absent() {
    let path = std::env::temp_dir().join(format!("fuchsiashore-watch-{}.ini", std::process::id()));
    fs::write(&path, "[daemon]").unwrap();
    let mut file = FileWatch::new(&path);
    assert!(!file.has_changed());
    fs::write(&path, "[daemon]\nname = x").unwrap();
    assert!(file.has_changed());
    assert!(!file.has_changed());
    fs::remove_file(&path).unwrap();
    assert!(
        !file.has_changed(),
        "a file that is being replaced has not changed"
    );
    fs::write(&path, "[daemon]\nname = y\n").unwrap();
    assert!(file.has_changed());
    fs::remove_file(&path).unwrap();
}
