//! `fuchsiashore moves`.

use {
    super::{
        change::{read_head, submit_change},
        daemons::{fetch_status, operator_addresses, query_all},
        error::CmdError,
        options::OperatorOptions,
    },
    crate::{
        clock::ProcessClock,
        config::{ConfigHead, MoveVerdict, TableEdit},
        daemon::MoveStatus,
    },
    std::sync::Arc,
};

/// Prints open and recently closed moves, or cancels an open one.
pub async fn run(options: &OperatorOptions, clock: &ProcessClock) -> Result<(), CmdError> {
    let head = read_head(&options.store()?).await?;
    if let Some(pool) = &options.cancel {
        return cancel(options, clock, &head, pool).await;
    }
    let open = open_moves(options, &head).await;
    if options.json {
        println!("{}", serde_json::json!({ "open": open, "closed": head.closed }));
        return Ok(());
    }
    for status in &open {
        let order = &status.order;
        let share = status
            .share
            .map_or("unknown".to_owned(), |share| format!("{:.0} %", share * 100.0));
        let phase = status
            .phase
            .as_deref()
            .unwrap_or("no controller among the daemons queried");
        println!(
            "open   {:>4} {} {} -> {}: share {share}, {phase}, must finish by {}",
            order.id, status.pool, order.from, order.to, order.finish_by
        );
    }
    for closed in &head.closed {
        let order = &closed.order;
        println!(
            "closed {:>4} {} {} -> {}: {} at {}: {}",
            order.id, closed.pool, order.from, order.to, closed.verdict, closed.at, closed.reason
        );
    }
    Ok(())
}

async fn cancel(
    options: &OperatorOptions,
    clock: &ProcessClock,
    head: &ConfigHead,
    pool: &str,
) -> Result<(), CmdError> {
    let order = head.moves.get(pool);
    let order = order.ok_or_else(|| CmdError::usage(format!("pool {pool} has no open move")))?;
    let edit = TableEdit::Close {
        pool: pool.into(),
        move_id: order.id,
        verdict: MoveVerdict::Cancelled,
        reason: options.message()?,
    };
    submit_change(options, clock, head, edit).await
}

/// Returns the open moves, with share and phase as reported by each move's controller.
async fn open_moves(options: &OperatorOptions, head: &ConfigHead) -> Vec<MoveStatus> {
    let mut open: Vec<MoveStatus> = head
        .moves
        .iter()
        .map(|(pool, order)| MoveStatus {
            pool: Arc::clone(pool),
            order: order.clone(),
            share: None,
            phase: None,
        })
        .collect();
    if open.is_empty() {
        return open;
    }
    let daemons = match options.daemon() {
        Ok(daemon) => operator_addresses(daemon).await.unwrap_or_default(),
        Err(_) => Vec::new(),
    };
    for (_, answer) in query_all(daemons, fetch_status).await {
        let Ok(status) = answer else { continue };
        for reported in status
            .moves
            .into_iter()
            .filter(|reported| reported.phase.is_some())
        {
            if let Some(entry) = open.iter_mut().find(|entry| entry.order.id == reported.order.id) {
                *entry = reported;
            }
        }
    }
    open
}
