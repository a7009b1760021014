//! `fuchsiashore timeline`.

use {
    super::{
        daemons::{fetch_timeline, operator_addresses, query_all},
        error::CmdError,
        options::OperatorOptions,
    },
    crate::timeline::{EventFilter, merge_events},
};

/// Prints the events of all daemons, merged in causal order.
pub async fn run(options: &OperatorOptions) -> Result<(), CmdError> {
    let mut events = Vec::new();
    let daemons = operator_addresses(options.daemon()?).await?;
    for ((name, address), answer) in query_all(daemons, fetch_timeline).await {
        match answer {
            Ok(more) => events.extend(more),
            Err(_) => eprintln!("{name} ({address}) does not answer; its events are left out"),
        }
    }
    let filter = EventFilter {
        pool: options.pool.clone(),
        move_id: options.move_id,
        daemon: options.name.clone(),
        since: options.since,
    };
    let merged = merge_events(events, &filter);
    if options.json {
        println!("{}", serde_json::json!(merged));
        return Ok(());
    }
    for event in merged {
        println!("{event}");
    }
    Ok(())
}
