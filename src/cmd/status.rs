//! `fuchsiashore status`.

use {
    super::{
        daemons::{fetch_status, operator_addresses, query_all},
        error::CmdError,
        options::OperatorOptions,
    },
    crate::{
        daemon::{DaemonStatus, TableStanding},
        quarantine::{RequestFingerprint, SuspectRecord},
    },
    std::collections::BTreeMap,
};

/// Prints every daemon with its target and the version in force.
pub async fn run(options: &OperatorOptions) -> Result<(), CmdError> {
    let mut statuses = Vec::new();
    let mut silent = Vec::new();
    let daemons = operator_addresses(options.daemon()?).await?;
    for ((name, address), answer) in query_all(daemons, fetch_status).await {
        match answer {
            Ok(status) => statuses.push(status),
            Err(_) => silent.push(format!("{name} ({address})")),
        }
    }
    statuses.sort_by(|a, b| a.name.cmp(&b.name));
    if options.json {
        println!("{}", serde_json::json!({ "daemons": statuses, "silent": silent }));
        return Ok(());
    }
    for status in &statuses {
        let target = &status.own.target;
        println!(
            "{:<24} version {:<6} {:<12} {} {} {} in flight {} members {} store {}",
            status.name,
            status.version,
            status.own.data_centre,
            target.service,
            target.version,
            target.status,
            status.in_flight,
            status
                .members
                .iter()
                .filter(|member| member.status.is_present())
                .count(),
            if status.is_store_up { "up" } else { "down" },
        );
    }
    for line in statuses.iter().filter_map(standing_line) {
        println!("{line}");
    }
    for line in evacuation_lines(&statuses) {
        println!("{line}");
    }
    for daemon in silent {
        println!("{daemon} does not answer");
    }
    for line in held_lines(&statuses) {
        println!("{line}");
    }
    Ok(())
}

/// Describes a daemon whose table is not known to be the newest one.
fn standing_line(status: &DaemonStatus) -> Option<String> {
    let (name, version, seconds) = (&status.name, status.version, status.standing_ms as f64 / 1e3);
    match status.standing? {
        TableStanding::Current => None,
        TableStanding::NewerKnown => Some(format!(
            "{name} has version {version} and has known of {} for {seconds:.1} s",
            status.newest
        )),
        TableStanding::Unconfirmed => Some(format!(
            "{name} has version {version}, which nothing has confirmed for {seconds:.1} s"
        )),
    }
}

/// Describes the evacuated data centres, each once, with the number of daemons that know of it.
fn evacuation_lines(statuses: &[DaemonStatus]) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for name in statuses.iter().flat_map(|status| status.evacuations.names()) {
        *counts.entry(name).or_default() += 1;
    }
    let total = statuses.len();
    let lines = counts
        .into_iter()
        .map(|(name, count)| format!("data centre {name} evacuated, in force at {count} of {total} daemons"));
    lines.collect()
}

/// Describes the requests that are held back, each once, with the number of daemons that do so.
fn held_lines(statuses: &[DaemonStatus]) -> Vec<String> {
    let mut held: BTreeMap<(RequestFingerprint, &str), (usize, &SuspectRecord)> = BTreeMap::new();
    let suspects = statuses.iter().flat_map(|status| &status.suspects);
    for suspect in suspects.filter(|suspect| suspect.held_ms > 0) {
        let key = (suspect.fingerprint, &*suspect.version);
        let entry = held.entry(key).or_insert((0, suspect));
        entry.0 += 1;
        if suspect.held_ms > entry.1.held_ms {
            entry.1 = suspect;
        }
    }
    let lines = held.into_iter().map(|((fingerprint, version), (daemons, suspect))| {
        format!(
            "request {fingerprint} held back by {daemons} daemons for {} s more: {} targets of version {version} ended under it",
            suspect.held_ms.div_ceil(1_000),
            suspect.ends.len(),
        )
    });
    lines.collect()
}
