//! Store edge of the platform's key-value service: the head, the seeds and the progress of moves.

use {
    super::{
        edges::{EdgeContext, MoveCloseRequest, StoreEdge, StoreReading},
        seeds::{read_seeds, write_seeds},
    },
    crate::{
        codec,
        config::{ConfigHead, EditRequest, MoveOrder, MoveStamp, TableEdit},
        member::{LEAD_WAIT_MS, TargetDeparture, WatchMode},
        moves::Clearance,
        store::{HEAD_KEY, HttpStore, MOVES_PREFIX, StoreClient, StoreError, write_change},
    },
    rand::RngExt,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Maximum time for which the watch of a daemon that does not lead waits at the store for a change.
const STANDBY_WAIT: Duration = Duration::from_secs(20);
/// The same for a leading daemon.
const LEAD_WAIT: Duration = Duration::from_millis(LEAD_WAIT_MS);
/// Backoff after the first failed call, in milliseconds; doubled with each further failure.
const INITIAL_BACKOFF_MS: u64 = 250;
/// Maximum backoff before jitter, in milliseconds.
const MAX_BACKOFF_MS: u64 = 8_000;
/// Time limit of one attempt to write a verdict, in milliseconds.
const VERDICT_WRITE_TIMEOUT_MS: u64 = 5_000;
/// Window of the first store call, in milliseconds. A random delay of a quarter to three quarters of it keeps daemons
/// that start together from calling at the same time.
const FIRST_CALL_WINDOW_MS: u64 = 1_000;

/// [`StoreEdge`] that uses the key-value service.
#[derive(Debug)]
pub struct KvStoreEdge {
    context: EdgeContext,
    store: HttpStore,
    mode: watch::Sender<WatchMode>,
}

impl KvStoreEdge {
    /// Creates a client for the store of the settings and starts its watch, which is idle while this daemon is not a
    /// watcher.
    pub fn new(context: &EdgeContext) -> Self {
        let store = HttpStore::new(&context.settings.store);
        let (mode, mode_changes) = watch::channel(WatchMode::Off);
        tokio::spawn(watch_head(context.clone(), store.clone(), mode_changes));
        Self {
            context: context.clone(),
            store,
            mode,
        }
    }
}

impl StoreEdge for KvStoreEdge {
    fn set_watch(&mut self, mode: WatchMode) {
        self.mode
            .send_if_modified(|current| std::mem::replace(current, mode) != mode);
    }

    fn read_seeds(&mut self, own: SocketAddr) {
        self.context.count_store_call("seeds");
        read_seeds(&self.store, &self.context, own);
    }

    fn replace_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.context.count_store_call("seeds");
        write_seeds(&self.store, Arc::clone(&self.context.settings.data_centre), seeds);
    }

    fn save_progress(&mut self, pool: &Arc<str>, _order: &MoveOrder, clearance: &Clearance) {
        let (store, key) = (self.store.clone(), format!("{MOVES_PREFIX}/{pool}"));
        let Ok(bytes) = codec::encode(clearance) else {
            return;
        };
        self.context.count_store_call("progress");
        tokio::spawn(async move {
            if let Err(error) = store.write(&key, bytes).await {
                log::warn!("event=progress-not-kept key={key} error={error:?}");
            }
        });
    }

    fn read_progress(&mut self, pool: &Arc<str>, move_id: u64) {
        let (store, inbox, pool) = (self.store.clone(), self.context.inbox.clone(), Arc::clone(pool));
        self.context.count_store_call("progress");
        tokio::spawn(async move {
            let value = store.read(&format!("{MOVES_PREFIX}/{pool}")).await.ok().flatten();
            let stored = value.and_then(|value| codec::decode(&value.data).ok());
            inbox.progress_read(pool, move_id, stored).await;
        });
    }

    fn close_move(&mut self, closing: MoveCloseRequest) {
        let MoveCloseRequest {
            pool,
            order,
            verdict,
            reason,
            at,
        } = closing;
        let request = EditRequest {
            change_id: format!("move-{}-{pool}-{verdict}", order.id).into(),
            base_version: None,
            author: Arc::clone(&self.context.settings.name),
            message: format!("move of {pool} {verdict}: {reason}").into(),
            at,
            edit: TableEdit::Close {
                pool: Arc::clone(&pool),
                move_id: order.id,
                verdict,
                reason,
            },
        };
        let (store, context) = (self.store.clone(), self.context.clone());
        self.context.count_store_call("verdict");
        tokio::spawn(async move {
            let clock = context.shared.clock;
            let result = write_change(&store, &clock, request, at.after_ms(VERDICT_WRITE_TIMEOUT_MS)).await;
            context.inbox.move_closed(pool, order.id, result).await;
        });
    }

    fn record_version(&mut self, _pool: &Arc<str>, _version: &Arc<str>) {
        // Not needed: the tables of this store name the version of every pool.
    }

    fn restore_version(&mut self, _pool: &Arc<str>, _version: &Arc<str>, _stamp: MoveStamp) {
        // Not needed: the head of this store has the versions of pools and the moves in one value.
    }

    fn read_departures(&mut self) {
        let inbox = self.context.inbox.clone();
        tokio::spawn(async move { inbox.departures_read(Ok(Vec::new())).await });
    }

    fn record_departure(&mut self, departure: &TargetDeparture) {
        // Not needed: targets beside this edge don't announce themselves.
        let (inbox, departure) = (self.context.inbox.clone(), departure.clone());
        tokio::spawn(async move { inbox.departure_recorded(departure, Ok(())).await });
    }
}

/// Watches the head as long as the mode says so, and reports each answer or failure to the control thread.
async fn watch_head(context: EdgeContext, store: HttpStore, mut mode_changes: watch::Receiver<WatchMode>) {
    let min_call_interval =
        Duration::from_millis(1_000 / u64::from(context.settings.store_calls_per_s.max(1)));
    let mut index = 0;
    let mut failures = 0_u32;
    let mut has_changed = false;
    let mut answered_mode = WatchMode::Off;
    tokio::time::sleep(jittered(FIRST_CALL_WINDOW_MS / 2)).await;
    while mode_changes
        .wait_for(|mode| *mode != WatchMode::Off)
        .await
        .is_ok()
    {
        let mode = *mode_changes.borrow();
        let wait = match mode {
            // A change or a failure has confirmed no time after the call was sent.
            WatchMode::Leading { .. } if mode != answered_mode || has_changed => Duration::ZERO,
            WatchMode::Leading { .. } => LEAD_WAIT,
            WatchMode::Off | WatchMode::Standby => STANDBY_WAIT,
        };
        context.count_store_call("watch");
        let sent_at = context.now();
        let call = async {
            if index == 0 || wait.is_zero() {
                store.read(HEAD_KEY).await
            } else {
                store.watch(HEAD_KEY, index, wait).await
            }
        };
        let answer = tokio::select! {
            answer = call => answer,
            () = wait_for_other(&mut mode_changes, mode) => continue,
        };
        let pause = if let Ok(value) = &answer {
            failures = 0;
            answered_mode = mode;
            let former = std::mem::replace(&mut index, value.as_ref().map_or(0, |value| value.index));
            has_changed = index != former;
            // A missing key has no index to watch from, so it is read again after a pause.
            if index == 0 {
                jittered(INITIAL_BACKOFF_MS * 2)
            } else {
                min_call_interval.saturating_sub(context.now().remaining_from(sent_at))
            }
        } else {
            let pause_ms = (INITIAL_BACKOFF_MS << failures.min(8)).min(MAX_BACKOFF_MS);
            failures += 1;
            answered_mode = WatchMode::Off;
            jittered(pause_ms)
        };
        let confirmed_at =
            StoreReading::confirmed_at(sent_at, wait, has_changed || index == 0, context.now());
        let reading = answer.and_then(|value| {
            let head = value.map(|value| ConfigHead::open(&value.data)).transpose();
            let head = head.map_err(|error| StoreError::Refused(error.to_string()))?;
            Ok(StoreReading {
                newest_version: head.as_ref().map_or(0, |head| head.version),
                head: head.map(Box::new),
                confirmed_at,
            })
        });
        context.inbox.head_read(reading).await;
        tokio::time::sleep(pause).await;
    }
}

/// Waits until the mode differs from `present`.
async fn wait_for_other(mode_changes: &mut watch::Receiver<WatchMode>, present: WatchMode) {
    let _ = mode_changes.wait_for(|mode| *mode != present).await;
}

/// Returns a random duration from half to one and a half of `pause_ms`.
fn jittered(pause_ms: u64) -> Duration {
    Duration::from_millis(pause_ms / 2 + rand::rng().random_range(0..=pause_ms))
}
