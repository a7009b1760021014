//! Fake of the platform's key-value service: the subset of the Consul KV API that the product uses, with faults that
//! can be injected.

use {
    crate::{
        http::{respond, serve},
        store::KvRow,
    },
    parking_lot::Mutex,
    salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode},
    std::{
        collections::HashMap,
        io,
        net::TcpListener,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Largest accepted value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Injected faults, set by `PUT /lab/faults?…`; a fault that the query leaves out is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KvFaults {
    /// Every call is answered with 500 and has no effect.
    pub down: bool,
    /// Every write takes effect but is answered with 500.
    pub lose_answers: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Debug, Default)]
struct KvState {
    /// Modify index and value of each key.
    rows: HashMap<String, (u64, Vec<u8>)>,
    /// Index of the latest write.
    index: u64,
    faults: KvFaults,
}

/// In-memory key-value service; clones share their state.
#[derive(Debug, Default, Clone)]
pub struct KvServer {
    state: Arc<Mutex<KvState>>,
    changed: Arc<Notify>,
    calls: Arc<AtomicU64>,
}

impl KvServer {
    /// Serves the listener until the runtime shuts down.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        serve(listener, self).await
    }

    /// Returns the number of calls so far, without `/lab/` calls; a waiting watch counts once.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: KvFaults) {
        self.state.lock().faults = faults;
    }

    async fn read(&self, key: &str, req: &mut Request, res: &mut Response) {
        let index: u64 = req.query("index").unwrap_or(0);
        let wait_ms: u64 = req
            .query::<String>("wait")
            .and_then(|wait| wait.strip_suffix("ms")?.parse().ok())
            .unwrap_or(0);
        let changed = async {
            loop {
                let notified = self.changed.notified();
                if index == 0 || self.index_of(key) != index {
                    return;
                }
                notified.await;
            }
        };
        let _ = timeout(Duration::from_millis(wait_ms), changed).await;
        let state = self.state.lock();
        match state.rows.get(key) {
            Some((modify_index, value)) => {
                let row = KvRow {
                    key: key.to_owned(),
                    modify_index: *modify_index,
                    value: value.clone(),
                };
                let text = serde_json::to_vec(&[row]).unwrap_or_default();
                respond(res, StatusCode::OK, text);
            }
            None => respond(res, StatusCode::NOT_FOUND, ""),
        }
    }

    fn index_of(&self, key: &str) -> u64 {
        self.state.lock().rows.get(key).map_or(0, |(index, _)| *index)
    }

    async fn write(&self, key: &str, req: &mut Request, res: &mut Response) {
        let expected_index: Option<u64> = req.query("cas");
        let Ok(value) = req.payload_with_max_size(MAX_VALUE_BYTES).await.cloned() else {
            respond(res, StatusCode::PAYLOAD_TOO_LARGE, "value too large");
            return;
        };
        let mut state = self.state.lock();
        let current_index = state.rows.get(key).map_or(0, |(index, _)| *index);
        let is_match = expected_index.is_none_or(|expected| expected == current_index);
        if is_match {
            state.index += 1;
            let index = state.index;
            state.rows.insert(key.to_owned(), (index, value.to_vec()));
        }
        let is_answer_lost = state.faults.lose_answers;
        drop(state);
        self.changed.notify_waiters();
        if is_answer_lost {
            respond(res, StatusCode::INTERNAL_SERVER_ERROR, "answer lost");
        } else {
            respond(res, StatusCode::OK, if is_match { "true" } else { "false" });
        }
    }

    fn change_faults(&self, req: &mut Request, res: &mut Response) {
        let faults = KvFaults {
            down: req.query("down").unwrap_or(false),
            lose_answers: req.query("lose_answers").unwrap_or(false),
            delay_ms: req.query("delay_ms").unwrap_or(0),
        };
        self.set_faults(faults);
        self.changed.notify_waiters();
        respond(res, StatusCode::OK, "true");
    }
}

#[async_trait]
impl Handler for KvServer {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response, _ctrl: &mut FlowCtrl) {
        let path = req.uri().path().to_owned();
        match path.as_str() {
            "/lab/faults" => return self.change_faults(req, res),
            "/lab/calls" => return respond(res, StatusCode::OK, self.calls().to_string()),
            _ => {}
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        let faults = self.state.lock().faults;
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let Some(key) = path.strip_prefix("/v1/kv/").filter(|_| !faults.down) else {
            let status = if faults.down {
                StatusCode::INTERNAL_SERVER_ERROR
            } else {
                StatusCode::NOT_FOUND
            };
            respond(res, status, "");
            return;
        };
        match req.method().as_str() {
            "GET" => self.read(key, req, res).await,
            "PUT" => self.write(key, req, res).await,
            _ => respond(res, StatusCode::METHOD_NOT_ALLOWED, ""),
        }
    }
}
