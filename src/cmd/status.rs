//! `fuchsiashore status`.

use super::{
    daemons::{fetch_status, operator_addresses, query_all},
    error::CmdError,
    options::OperatorOptions,
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
    for daemon in silent {
        println!("{daemon} does not answer");
    }
    Ok(())
}
