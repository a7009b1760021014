//! What all verbs that change the configuration share.

use {
    super::{
        daemons::{all_operators, ask_all, fetch_status},
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

/// Time that a change is tried, in milliseconds.
const CHANGE_LIMIT_MS: u64 = 15_000;
/// Pause between two looks at lagging daemons.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Reads the accepted configuration; an empty one if there is none yet.
pub async fn read_head(store: &HttpStore) -> Result<ConfigHead, CmdError> {
    let Some(value) = store.read(HEAD_KEY).await? else {
        return Ok(ConfigHead::default());
    };
    ConfigHead::open(&value.data).map_err(|error| CmdError::Unclear(error.to_string()))
}

/// Reads the tables of an earlier version.
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
            "version {version} is not kept; see `fuchsiashore history`"
        ))
    })?;
    codec::decode(&value.data).map_err(|error| CmdError::Unclear(error.to_string()))
}

/// Shows, writes and, if wanted, waits for a change. `base` is the head that the operator saw.
pub async fn make_change(
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
    show_change(options, base, &request, now)?;
    let version = write_change(&options.store()?, clock, request, now.after_ms(CHANGE_LIMIT_MS)).await?;
    if options.json {
        println!("{}", serde_json::json!({ "version": version }));
    } else {
        println!("accepted as version {version}");
    }
    if options.wait {
        wait_in_force(options, clock, version).await?;
    }
    Ok(())
}

fn show_change(
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
            "move of {pool} from {} to {} is to finish by {}",
            order.from, order.to, order.finish_by
        );
        if left_ms < MIN_MOVE_MS {
            let left_s = left_ms / 1_000;
            eprintln!(
                "warning: {left_s} s are too short to judge the version safely; allow at least a minute"
            );
        }
    }
    Ok(())
}

fn opened_moves<'a>(base: &ConfigHead, next: &'a ConfigHead) -> IndexMap<&'a Arc<str>, &'a MoveOrder> {
    let is_new =
        |order: &MoveOrder, pool: &Arc<str>| base.moves.get(pool).is_none_or(|known| known.id != order.id);
    next.moves
        .iter()
        .filter(|(pool, order)| is_new(order, pool))
        .collect()
}

/// Waits until every daemon that is present has the version in force.
async fn wait_in_force(
    options: &OperatorOptions,
    clock: &ProcessClock,
    version: u64,
) -> Result<(), CmdError> {
    let deadline = clock.now().after_ms(options.wait_ms);
    let mut lagging = all_operators(options.daemon()?).await?;
    let total = lagging.len();
    loop {
        let answers = ask_all(lagging, fetch_status).await;
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
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}
