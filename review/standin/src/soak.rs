//! A search, not a case: requests under random disruptions of daemons, endpoints and store, with the promises checked.

use {
    crate::{
        Ending,
        http::{Message, read_body, read_head, write_answer},
        mesh::{Daemon, Endpoint, Record, Route, Work, put_config, unix_ms, wait_for},
        store::Store,
    },
    std::{
        collections::HashMap,
        env,
        io::{self, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Rng(Arc<AtomicU64>);

impl Rng {
    fn next(&self) -> u64 {
        let mut x = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    fn below(&self, limit: u64) -> u64 {
        self.next() % limit
    }
}

#[derive(Clone, Default)]
struct Sent {
    method: &'static str,
    path: String,
    body_sum: u64,
    body_len: usize,
}

#[derive(Default)]
struct Ledger {
    sent: HashMap<String, Sent>,
    /// Runs with the stamp of each and the status that was given.
    runs: HashMap<String, Vec<(String, u16)>>,
    /// Promises given to clients, by id.
    promised: HashMap<String, u16>,
    faults: Vec<String>,
    /// Requests whose connection ended without a whole answer.
    lost: Vec<String>,
    statuses: HashMap<u16, u64>,
}

fn sum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    })
}

fn body_of(id: &str, stamp: &str) -> Vec<u8> {
    let seed = sum(format!("{id}{stamp}").as_bytes());
    let size = if seed % 10 == 0 {
        150_000
    } else {
        (seed % 30_000) as usize
    };
    (0..size)
        .map(|at| (seed.rotate_left(at as u32 % 64) as u8).wrapping_add(at as u8))
        .collect()
}

fn work(ledger: Arc<Mutex<Ledger>>, rng: Rng, tame: Arc<AtomicBool>, name: String) -> Work {
    Arc::new(move |request: &Message, stream: &mut TcpStream| {
        let id = request.header("attempt-id").to_owned();
        let wild = !tame.load(Ordering::Relaxed);
        let dice = if wild { rng.below(100) } else { 99 };
        if dice < 5 {
            let headers = [("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
            return write_answer(stream, "503 Service Unavailable", &headers, b"");
        }
        if dice < 7 {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let stamp = format!("{name}-{:x}", rng.next());
        let status: u16 = if dice < 10 { 500 } else { 200 };
        {
            let mut ledger = ledger.lock().unwrap();
            match ledger.sent.get(&id).cloned() {
                None => ledger
                    .faults
                    .push(format!("UNASKED {id} at {name}: {}", request.line)),
                Some(sent) => {
                    if sent.method != request.method()
                        || sent.path != request.target()
                        || sent.body_sum != sum(&request.body)
                        || request.header("caller-service") != "balcao"
                    {
                        ledger.faults.push(format!(
                            "UNASKED {id} changed: {} {} {} bytes of {}, caller {}",
                            request.method(),
                            request.target(),
                            request.body.len(),
                            sent.body_len,
                            request.header("caller-service")
                        ));
                    }
                }
            }
            ledger
                .runs
                .entry(id.clone())
                .or_default()
                .push((stamp.clone(), status));
            let runs = ledger.runs[&id].len();
            if request.target().starts_with("/book/") {
                if runs > 1 {
                    ledger.faults.push(format!("TWICE {id}: {runs} runs"));
                }
                if let Some(status) = ledger.promised.get(&id) {
                    let status = *status;
                    ledger.faults.push(format!("REFUSED {id} runs after {status}"));
                }
            }
        }
        thread::sleep(Duration::from_millis(5 + rng.below(60)));
        let body = if status == 200 {
            body_of(&id, &stamp)
        } else {
            b"failed".to_vec()
        };
        let line = if status == 200 {
            "200 OK"
        } else {
            "500 Internal Server Error"
        };
        let mut bytes = Vec::new();
        let head = format!("HTTP/1.1 {line}\r\nAttempt-Id: {id}\r\nResponse-Stamp: {stamp}\r\n");
        bytes.extend(head.bytes());
        if (10..14).contains(&dice) {
            bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
            bytes.extend(&body[..body.len() / 2]);
            stream.write_all(&bytes)?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if (14..20).contains(&dice) {
            bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            for chunk in body.chunks(7_000) {
                bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
                bytes.extend(chunk);
                bytes.extend(b"\r\n");
            }
            if dice == 14 {
                stream.write_all(&bytes)?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            bytes.extend(b"0\r\n\r\n");
            return stream.write_all(&bytes);
        }
        if (20..24).contains(&dice) {
            bytes.extend(b"Connection: close\r\n\r\n");
            bytes.extend(&body);
            stream.write_all(&bytes)?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
        bytes.extend(&body);
        if (24..28).contains(&dice) {
            let again = bytes.clone();
            stream.write_all(&bytes)?;
            if dice > 25 {
                thread::sleep(Duration::from_millis(rng.below(30)));
            }
            return stream.write_all(&again);
        }
        if dice == 28 {
            bytes.extend(b"garbage\r\n\r\n");
        }
        stream.write_all(&bytes)
    })
}

struct ClientState {
    ledger: Arc<Mutex<Ledger>>,
    rng: Rng,
    next: Arc<AtomicU64>,
    last: Mutex<String>,
    /// When the last byte of the last request was sent.
    written: Mutex<Option<Instant>>,
}

impl ClientState {
    /// Sends a request on a connection; returns whether it can be used again.
    fn send(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
        let id = format!("{:016x}", self.next.fetch_add(1, Ordering::Relaxed));
        let is_book = self.rng.below(2) == 0;
        let method = if is_book { "POST" } else { "GET" };
        let path = format!(
            "/{}/{:x}?q={}",
            if is_book { "book" } else { "read" },
            self.rng.below(1 << 20),
            self.rng.below(9)
        );
        let body_len = match (is_book, self.rng.below(12)) {
            (true, 0) => 100_000 + self.rng.below(200_000) as usize,
            (true, _) => self.rng.below(20_000) as usize,
            _ => 0,
        };
        let body: Vec<u8> = (0..body_len)
            .map(|at| (at as u8) ^ (self.next.load(Ordering::Relaxed) as u8))
            .collect();
        let sent = Sent {
            method,
            path: path.clone(),
            body_sum: sum(&body),
            body_len,
        };
        self.ledger.lock().unwrap().sent.insert(id.clone(), sent);
        let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\nCaller-Service: forged\r\n").into_bytes();
        if self.rng.below(3) == 0 && is_book {
            bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            for chunk in body.chunks(9_000) {
                bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
                bytes.extend(chunk);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\n\r\n");
        } else {
            bytes.extend(format!("Content-Length: {body_len}\r\n\r\n").bytes());
            bytes.extend(&body);
        }
        stream.set_read_timeout(Some(Duration::from_millis(2_500)))?;
        *self.last.lock().unwrap() = id.clone();
        stream.write_all(&bytes)?;
        *self.written.lock().unwrap() = Some(Instant::now());
        if self.rng.below(25) == 0 {
            thread::sleep(Duration::from_millis(self.rng.below(40)));
            return Ok(false);
        }
        let mut answer = read_head(stream, buffer)?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let has_framing =
            !answer.header("content-length").is_empty() || !answer.header("transfer-encoding").is_empty();
        if !has_framing {
            let mut ledger = self.ledger.lock().unwrap();
            ledger
                .faults
                .push(format!("UNFRAMED answer to {id}: {}", answer.line));
            return Ok(false);
        }
        read_body(stream, buffer, &mut answer)?;
        let (status, stamp) = (answer.status(), answer.header("response-stamp").to_owned());
        let mut ledger = self.ledger.lock().unwrap();
        *ledger.statuses.entry(status).or_default() += 1;
        let runs = ledger.runs.get(&id).cloned().unwrap_or_default();
        let run = runs.iter().find(|(other, _)| *other == stamp);
        if answer.header("attempt-id") != id {
            ledger.faults.push(format!(
                "MIXED {id}: answer of {:?}, {}",
                answer.header("attempt-id"),
                answer.line
            ));
        }
        match (status, run) {
            (200..=299, Some((_, 200))) => {
                if answer.body != body_of(&id, &stamp) {
                    ledger.faults.push(format!(
                        "MIXED {id}: {} bytes are not the body",
                        answer.body.len()
                    ));
                }
            }
            (200..=299, _) => ledger.faults.push(format!("MIXED {id}: success without a run")),
            (_, Some((_, given))) if *given != status => {
                ledger.faults.push(format!("MIXED {id}: {status} for {given}"))
            }
            (_, None) if !stamp.is_empty() => ledger.faults.push(format!("MIXED {id}: stamp of no run")),
            _ => {}
        }
        if [429, 503, 408, 421].contains(&status) && is_book {
            ledger.promised.insert(id.clone(), status);
            if !runs.is_empty() {
                ledger.faults.push(format!("REFUSED {id}: {status} after a run"));
            }
        }
        if [400, 404, 405, 413, 431].contains(&status) {
            ledger.faults.push(format!("DENIED {id}: {status}"));
        }
        Ok(!answer.header("connection").eq_ignore_ascii_case("close"))
    }

    fn run(&self, outbound: SocketAddr, until: Instant) {
        while Instant::now() < until {
            let Ok(mut stream) = TcpStream::connect_timeout(&outbound, Duration::from_secs(1)) else {
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            let mut buffer = Vec::new();
            for _ in 0..1 + self.rng.below(12) {
                *self.written.lock().unwrap() = None;
                match self.send(&mut stream, &mut buffer) {
                    Ok(true) if Instant::now() < until => {}
                    Err(error) if self.written.lock().unwrap().is_some() => {
                        let age_ms = self
                            .written
                            .lock()
                            .unwrap()
                            .map_or(0, |at| at.elapsed().as_millis());
                        let id = self.last.lock().unwrap().clone();
                        let mut ledger = self.ledger.lock().unwrap();
                        let has_run = ledger.runs.contains_key(&id);
                        ledger.lost.push(format!(
                            "LOST {id} run={has_run} {:?} {age_ms} ms after its last byte",
                            error.kind()
                        ));
                        break;
                    }
                    _ => break,
                }
                if self.rng.below(4) == 0 {
                    thread::sleep(Duration::from_millis(self.rng.below(1_200)));
                }
                if !buffer.is_empty() {
                    self.ledger
                        .lock()
                        .unwrap()
                        .faults
                        .push("MIXED bytes without a request".to_owned());
                }
            }
        }
    }
}

pub fn run(folder: &str, record: &Record) -> Ending {
    let seconds: u64 = env::var("SECONDS_RUN")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(50);
    let seed: u64 = env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let troubles = env::var("TROUBLES").unwrap_or_else(|_| "kill,stop,term,store,end,config".to_owned());
    let rng = Rng(Arc::new(AtomicU64::new(seed.wrapping_mul(0x1234_5678_9abc_def1))));
    let ledger: Arc<Mutex<Ledger>> = Arc::default();
    let store = Store::default();
    let daemons: Vec<Arc<Daemon>> = (1..=5)
        .map(|number| {
            Arc::new(Daemon::start(
                folder,
                &format!("sidecar-{number}"),
                "balcao",
                store.open_door(),
            ))
        })
        .collect();
    let put = |version: i64| {
        let routes = [
            Route {
                name: "read",
                prefix: "/read/",
                kind: "idempotent",
                service: "balcao",
                timeout_ms: 1_200,
                target_latency_ms: 600,
                attempts: 2,
            },
            Route {
                name: "book",
                prefix: "/book/",
                kind: "non_idempotent",
                service: "balcao",
                timeout_ms: 1_500,
                target_latency_ms: 600,
                attempts: 3,
            },
        ];
        put_config(&store, version, &routes, &["balcao"]);
    };
    put(7);
    if !wait_for(Duration::from_secs(10), || {
        daemons.iter().all(|daemon| daemon.is_ready())
    }) {
        return Ending::NotRun;
    }
    let tame = Arc::new(AtomicBool::new(troubles.contains("tame")));
    let endpoints: Vec<Endpoint> = daemons
        .iter()
        .enumerate()
        .map(|(number, daemon)| {
            let name = format!("i-{number}");
            let work = work(Arc::clone(&ledger), rng.clone(), Arc::clone(&tame), name.clone());
            Endpoint::start(daemon, &name, "balcao", "v1", work, record)
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + Duration::from_secs(seconds);
    let next = Arc::new(AtomicU64::new(0x5000_0000));
    let clients: Vec<_> = (0..60)
        .map(|number| {
            let state = ClientState {
                ledger: Arc::clone(&ledger),
                rng: rng.clone(),
                next: Arc::clone(&next),
                last: Mutex::default(),
                written: Mutex::default(),
            };
            let outbound = daemons[number % daemons.len()].outbound;
            thread::spawn(move || state.run(outbound, until))
        })
        .collect();
    let kinds: Vec<&str> = troubles.split(',').collect();
    let mut version = 7;
    while Instant::now() + Duration::from_secs(6) < until {
        let daemon = &daemons[rng.below(daemons.len() as u64) as usize];
        match kinds[rng.below(kinds.len() as u64) as usize] {
            "kill" => {
                daemon.kill();
                record.write(&format!("{} is killed", daemon.name));
                thread::sleep(Duration::from_millis(rng.below(1_000)));
                daemon.spawn();
            }
            "stop" => {
                daemon.signal("STOP");
                record.write(&format!("{} freezes", daemon.name));
                thread::sleep(Duration::from_millis(500 + rng.below(3_500)));
                daemon.signal("CONT");
            }
            "term" => {
                daemon.signal("TERM");
                record.write(&format!("{} gets SIGTERM", daemon.name));
                let _ = wait_for(Duration::from_secs(6), || daemon.has_ended());
                if !daemon.has_ended() {
                    ledger
                        .lock()
                        .unwrap()
                        .faults
                        .push(format!("HANG {} does not end", daemon.name));
                }
                daemon.kill();
                daemon.spawn();
            }
            "store" => {
                daemon.door.refuse(true);
                thread::sleep(Duration::from_millis(rng.below(3_000)));
                daemon.door.refuse(false);
            }
            "config" => {
                version += 1;
                put(version);
            }
            _ => {}
        }
        thread::sleep(Duration::from_millis(300 + rng.below(1_500)));
        for daemon in &daemons {
            if daemon.has_ended() {
                ledger.lock().unwrap().faults.push(format!(
                    "CRASH {} has ended by itself at {}",
                    daemon.name,
                    unix_ms()
                ));
                daemon.kill();
                daemon.spawn();
            }
        }
    }
    for client in clients {
        let _ = client.join();
    }
    drop(endpoints);
    let ledger = ledger.lock().unwrap();
    let mut statuses: Vec<_> = ledger.statuses.iter().collect();
    statuses.sort();
    record.print(&format!("{} requests, statuses {statuses:?}", ledger.sent.len()));
    record.print(&format!(
        "{} connections ended without an answer",
        ledger.lost.len()
    ));
    ledger.lost.iter().take(40).for_each(|fault| record.print(fault));
    ledger
        .faults
        .iter()
        .take(30)
        .for_each(|fault| record.print(fault));
    if ledger.faults.is_empty() {
        Ending::Held
    } else {
        Ending::Broken
    }
}
