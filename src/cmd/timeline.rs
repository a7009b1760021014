//! `fuchsiashore timeline`.

use {
    super::{
        daemons::{all_operators, ask_all, fetch_timeline},
        error::CmdError,
        options::OperatorOptions,
    },
    crate::timeline::{EventFilter, merge_events},
};

/// Prints the merged events of all daemons.
pub async fn run(options: &OperatorOptions) -> Result<(), CmdError> {
    let mut events = Vec::new();
    let daemons = all_operators(options.daemon()?).await?;
    for ((name, address), answer) in ask_all(daemons, fetch_timeline).await {
        match answer {
            Ok(more) => events.extend(more),
            Err(_) => eprintln!("{name} ({address}) does not answer; its events are missing"),
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
