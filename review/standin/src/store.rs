//! Stand-in of the platform's store: items, revisions, history, leases, transactions and watches.

use {
    crate::{
        http::{Message, serve, write_answer},
        msgpack::{Value, from_base64, map, text, to_base64},
    },
    std::{
        collections::{BTreeMap, HashMap},
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct Content {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Key, revision and the item; `None` for a removal.
    history: Vec<(String, i64, Option<Item>)>,
    leases: HashMap<i64, (Duration, Instant)>,
}

/// The store. Each daemon reaches it at an address of its own, which can refuse calls.
#[derive(Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
}

/// One address of the store.
#[derive(Clone)]
pub struct StoreDoor {
    pub address: SocketAddr,
    is_refusing: Arc<Mutex<bool>>,
}

impl StoreDoor {
    /// Sets whether calls at this address are answered 503, which does nothing.
    pub fn refuse(&self, is_refusing: bool) {
        *self.is_refusing.lock().unwrap() = is_refusing;
    }
}

impl Store {
    /// Opens an address of the store.
    pub fn open_door(&self) -> StoreDoor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let is_refusing = Arc::new(Mutex::new(false));
        let (store, refuses) = (self.clone(), Arc::clone(&is_refusing));
        serve(listener, move |request, stream| {
            store.answer(&request, stream, &refuses)
        });
        StoreDoor { address, is_refusing }
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut content = self.content.0.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.write(key, to_base64(value), 0, revision);
        self.content.1.notify_all();
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        let content = self.content.0.lock().unwrap();
        Value::decode(&from_base64(&content.items.get(key)?.value))
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream, refuses: &Mutex<bool>) -> io::Result<()> {
        if *refuses.lock().unwrap() {
            return write_answer(stream, "503 Service Unavailable", &[], b"");
        }
        let call = request.path().trim_start_matches("/fuchsiashore/").to_owned();
        let body = Value::decode(&request.body).unwrap_or(Value::Nil);
        let (status, value) = match call.as_str() {
            "kv-key" => self.read_key(&request.query("key")),
            "kv-range" => self.read_range(&request.query("prefix"), &request.query("after")),
            "kv-watch" => self.watch(request, refuses),
            "kv-txn" => self.transact(&body),
            "kv-lease" => self.grant(&body),
            _ => self.keep(&call),
        };
        // A watch that waited may have been cut by a refusal.
        if *refuses.lock().unwrap() {
            return write_answer(stream, "503 Service Unavailable", &[], b"");
        }
        let headers = [("Content-Type", "application/msgpack")];
        write_answer(stream, status, &headers, &value.encode())
    }

    fn read_key(&self, key: &str) -> (&'static str, Value) {
        let content = self.content.0.lock().unwrap();
        match content.items.get(key) {
            Some(item) => {
                let mut shown = shown(key, item);
                if let Value::Map(fields) = &mut shown {
                    fields.push(("store_revision".to_owned(), Value::Int(content.revision)));
                }
                ("200 OK", shown)
            }
            None => (
                "404 Not Found",
                map([("store_revision", Value::Int(content.revision))]),
            ),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> (&'static str, Value) {
        let mut content = self.content.0.lock().unwrap();
        content.expire();
        let matching = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items = matching.map(|(key, item)| shown(key, item)).collect();
        let page = map([
            ("items", Value::List(items)),
            ("has_more", Value::Bool(false)),
            ("store_revision", Value::Int(content.revision)),
        ]);
        ("200 OK", page)
    }

    fn watch(&self, request: &Message, refuses: &Mutex<bool>) -> (&'static str, Value) {
        let prefix = request.query("prefix");
        let after: i64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut content = self.content.0.lock().unwrap();
        loop {
            content.expire();
            let changes = content
                .history
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<Value> = changes
                .map(|(key, revision, item)| match item {
                    Some(item) => shown(key, item),
                    None => map([
                        ("key", text(key)),
                        ("revision", Value::Int(*revision)),
                        ("removed", Value::Bool(true)),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until || *refuses.lock().unwrap() {
                let revision = Value::Int(content.revision);
                return (
                    "200 OK",
                    map([("events", Value::List(events)), ("store_revision", revision)]),
                );
            }
            let left = (until - now).min(Duration::from_millis(100));
            content = self.content.1.wait_timeout(content, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Value) -> (&'static str, Value) {
        let mut content = self.content.0.lock().unwrap();
        content.expire();
        let conditions = body.list("conditions");
        let present = |content: &Content, key: &str| content.items.get(key).map_or(0, |item| item.revision);
        let is_met = conditions
            .iter()
            .all(|row| present(&content, &row.text("key")) == row.number("revision"));
        if !is_met {
            let items = conditions.iter().map(|row| {
                let key = row.text("key");
                let missing = || {
                    map([
                        ("key", text(&key)),
                        ("value", text("")),
                        ("revision", Value::Int(0)),
                    ])
                };
                content
                    .items
                    .get(&key)
                    .map_or_else(missing, |item| shown(&key, item))
            });
            return (
                "412 Precondition Failed",
                map([("items", Value::List(items.collect()))]),
            );
        }
        let writes = body.list("writes");
        let has_lease =
            |row: &Value| row.number("lease") == 0 || content.leases.contains_key(&row.number("lease"));
        if !writes.iter().all(has_lease) {
            return ("404 Not Found", Value::Map(Vec::new()));
        }
        if writes
            .iter()
            .any(|row| row.text("key").starts_with("op/") || row.text("key").starts_with("servers/"))
        {
            return ("403 Forbidden", Value::Map(Vec::new()));
        }
        content.revision += 1;
        let revision = content.revision;
        for row in &writes {
            content.write(&row.text("key"), row.text("value"), row.number("lease"), revision);
        }
        for key in body.list("deletes") {
            if let Value::Text(key) = key {
                content.remove(&key, revision);
            }
        }
        self.content.1.notify_all();
        ("200 OK", map([("revision", Value::Int(revision))]))
    }

    fn grant(&self, body: &Value) -> (&'static str, Value) {
        let mut content = self.content.0.lock().unwrap();
        content.revision += 1;
        let (lease, ttl_ms) = (content.revision, body.number("ttl_ms").max(1_000));
        let ttl = Duration::from_millis(ttl_ms as u64);
        content.leases.insert(lease, (ttl, Instant::now() + ttl));
        (
            "200 OK",
            map([("lease", Value::Int(lease)), ("ttl_ms", Value::Int(ttl_ms))]),
        )
    }

    fn keep(&self, call: &str) -> (&'static str, Value) {
        let mut content = self.content.0.lock().unwrap();
        content.expire();
        let (name, id) = call.split_once('/').unwrap_or((call, ""));
        let id: i64 = id.parse().unwrap_or(0);
        let Some((ttl, until)) = content.leases.get_mut(&id) else {
            return ("404 Not Found", Value::Map(Vec::new()));
        };
        *until = Instant::now() + *ttl;
        let ttl_ms = ttl.as_millis() as i64;
        if name == "kv-lease-end" {
            content.leases.remove(&id);
            content.expire();
        }
        (
            "200 OK",
            map([("lease", Value::Int(id)), ("ttl_ms", Value::Int(ttl_ms))]),
        )
    }
}

impl Content {
    fn write(&mut self, key: &str, value: String, lease: i64, revision: i64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.history.push((key.to_owned(), revision, Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str, revision: i64) {
        if self.items.remove(key).is_some() {
            self.history.push((key.to_owned(), revision, None));
        }
    }

    /// Ends the leases that have run out, and removes their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| *until > now);
        let is_lapsed = |item: &Item| item.lease != 0 && !self.leases.contains_key(&item.lease);
        let lapsed = self.items.iter().filter(|(_, item)| is_lapsed(item));
        let lapsed: Vec<String> = lapsed.map(|(key, _)| key.clone()).collect();
        for key in lapsed {
            self.revision += 1;
            let revision = self.revision;
            self.remove(&key, revision);
        }
    }
}

fn shown(key: &str, item: &Item) -> Value {
    map([
        ("key", text(key)),
        ("value", text(&item.value)),
        ("revision", Value::Int(item.revision)),
        ("created_revision", Value::Int(item.created)),
        ("lease", Value::Int(item.lease)),
    ])
}
