//! Shared steps of the commands that change the configuration.

use {
    super::{
        daemons::{fetch_status, operator_addresses, query_all},
        error::CmdError,
        options::OperatorOptions,
    },
    crate::{
        clock::{ProcessClock, TimePoint},
        codec,
        config::{ConfigHead, ConfigTables, EditRequest, HeadEdit, MoveOrder, TableEdit, apply_edit},
        daemon::DaemonStatus,
        moves::MIN_MOVE_MS,
        store::{EditRefusal, HEAD_KEY, HISTORY_PREFIX, HttpStore, StoreClient, write_change},
    },
    indexmap::IndexMap,
    rand::RngExt,
    std::{sync::Arc, time::Duration},
};

/// Time after which the attempt to write a change is given up, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 15_000;
/// Pause between queries of daemons that have not applied a version yet.
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Reads the accepted configuration from the store; an empty one if there is none yet.
pub async fn read_head(store: &HttpStore) -> Result<ConfigHead, CmdError> {
    let Some(value) = store.read(HEAD_KEY).await? else {
        return Ok(ConfigHead::default());
    };
    ConfigHead::open(&value.data).map_err(|error| CmdError::Unclear(error.to_string()))
}

/// Reads the tables of a version: those of the head, or earlier ones from the store.
pub async fn read_version(
    store: &HttpStore,
    head: &ConfigHead,
    version: u64,
) -> Result<ConfigTables, CmdError> {
    if version == head.version {
        return Ok(head.tables());
    }
    let value = store.read(&format!("{HISTORY_PREFIX}/{version}")).await?;
    let value = value.ok_or_else(|| {
        CmdError::usage(format!(
            "the store has no version {version}; see `fuchsiashore history`"
        ))
    })?;
    codec::decode(&value.data).map_err(|error| CmdError::Unclear(error.to_string()))
}

/// Prints a change, writes it and, with `--wait`, waits until all daemons have applied it. The change conflicts with
/// any version other than that of `base`.
pub async fn submit_change(
    options: &OperatorOptions,
    clock: &ProcessClock,
    base: &ConfigHead,
    edit: TableEdit,
) -> Result<(), CmdError> {
    let now = clock.now();
    let request = EditRequest {
        change_id: format!("{:032x}", rand::rng().random::<u128>()).into(),
        base_version: Some(base.version),
        author: options.author(),
        message: options.message()?,
        at: now,
        edit,
    };
    print_change(options, base, &request, now)?;
    let version = write_change(&options.store()?, clock, request, now.after_ms(CHANGE_TIMEOUT_MS)).await?;
    if options.json {
        println!("{}", serde_json::json!({ "version": version }));
    } else {
        println!("accepted as version {version}");
    }
    if options.wait {
        wait_until_applied(options, clock, version).await?;
    }
    Ok(())
}

fn print_change(
    options: &OperatorOptions,
    base: &ConfigHead,
    request: &EditRequest,
    now: TimePoint,
) -> Result<(), CmdError> {
    let edit = apply_edit(base, request).map_err(|error| CmdError::Refused(EditRefusal::Edit(error)))?;
    let HeadEdit::Next(edit) = edit else { return Ok(()) };
    if !options.json {
        print!("{}", edit.diff);
    }
    for (pool, order) in opened_moves(base, &edit.head) {
        let left_ms = order.finish_by.ms_since(now);
        eprintln!(
            "the move of {pool} from {} to {} must finish by {}",
            order.from, order.to, order.finish_by
        );
        if left_ms < MIN_MOVE_MS {
            let left_s = left_ms / 1_000;
            eprintln!(
                "warning: {left_s} s are too short to evaluate the version safely; allow at least a minute"
            );
        }
    }
    Ok(())
}

fn opened_moves<'a>(base: &ConfigHead, next: &'a ConfigHead) -> IndexMap<&'a Arc<str>, &'a MoveOrder> {
    let is_new = |order: &MoveOrder, pool: &Arc<str>| {
        base.moves.get(pool).is_none_or(|current| current.id != order.id)
    };
    next.moves
        .iter()
        .filter(|(pool, order)| is_new(order, pool))
        .collect()
}

/// Waits until every daemon that is present now has applied the version. Fails after `--wait-ms` with those that lag.
async fn wait_until_applied(
    options: &OperatorOptions,
    clock: &ProcessClock,
    version: u64,
) -> Result<(), CmdError> {
    let deadline = clock.now().after_ms(options.wait_ms);
    let mut lagging = operator_addresses(options.daemon()?).await?;
    let total = lagging.len();
    loop {
        let answers = query_all(lagging, fetch_status).await;
        let is_lagging = |answer: &Result<DaemonStatus, CmdError>| {
            !answer.as_ref().is_ok_and(|status| status.version >= version)
        };
        lagging = answers
            .into_iter()
            .filter(|(_, answer)| is_lagging(answer))
            .map(|(daemon, _)| daemon)
            .collect();
        if lagging.is_empty() {
            eprintln!("in force at all {total} daemons");
            return Ok(());
        }
        if clock.now() >= deadline {
            let lagging = lagging
                .into_iter()
                .map(|(name, address)| format!("{name} ({address})"))
                .collect();
            return Err(CmdError::Lagging { version, lagging });
        }
        eprintln!("in force at {} of {total} daemons", total - lagging.len());
        tokio::time::sleep(POLL_PAUSE).await;
    }
}
