//! A search, not a case: endpoints come and go beside daemons that are killed, frozen or stopped one at a time, and late
//! heartbeats arrive. Checked is that none gets requests after its leaving was acknowledged.

use {
    crate::{
        Ending,
        http::{exchange, serve, write_answer},
        mesh::{Client, Daemon, Record, Route, put_config, stamped, unix_ms, wait_for},
        msgpack::{Value, map, text},
        store::Store,
    },
    std::{
        env,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Rng(Arc<AtomicU64>);

impl Rng {
    fn below(&self, limit: u64) -> u64 {
        let mut x = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % limit
    }
}

#[derive(Default)]
struct Machine {
    id: String,
    is_up: bool,
    acknowledged_ms: Option<u64>,
    late: Vec<String>,
    served: u64,
    unacknowledged: u64,
    departures: u64,
}

fn announce(control: SocketAddr, id: &str, born: u64, what: Option<(&str, i64, SocketAddr)>) -> u16 {
    let (method, body) = match what {
        Some((state, sequence, address)) => (
            "PUT",
            map([
                ("service", text("expedicao")),
                ("address", text(&address.to_string())),
                ("zone", text("caruaru")),
                ("version", text("v1")),
                ("slots", Value::Int(12)),
                ("state", text(state)),
                ("cold_ms", Value::Int(0)),
                ("sequence", Value::Int(sequence)),
                ("born", Value::Int(born as i64)),
            ]),
        ),
        None => ("DELETE", map([("born", Value::Int(born as i64))])),
    };
    let body = body.encode();
    let mut request = format!(
        "{method} /fuchsiashore/instances/{id} HTTP/1.1\r\nHost: control\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    )
    .into_bytes();
    request.extend(body);
    exchange(control, &request, Duration::from_secs(1)).map_or(0, |answer| answer.status())
}

pub fn run(folder: &str, record: &Record) -> Ending {
    let seconds: u64 = env::var("SECONDS_RUN")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(60);
    let seed: u64 = env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let rng = Rng(Arc::new(AtomicU64::new(seed.wrapping_mul(0x1234_5678_9abc_def1))));
    let store = Store::default();
    let daemons: Vec<Arc<Daemon>> = (1..=6)
        .map(|number| {
            Arc::new(Daemon::start(
                folder,
                &format!("sidecar-{number}"),
                "expedicao",
                store.open_door(),
            ))
        })
        .collect();
    let routes = [Route {
        name: "slot",
        prefix: "/slot/",
        kind: "idempotent",
        service: "expedicao",
        timeout_ms: 600,
        target_latency_ms: 600,
        attempts: 2,
    }];
    put_config(&store, 7, &routes, &["expedicao"]);
    if !wait_for(Duration::from_secs(10), || {
        daemons.iter().all(|daemon| daemon.is_ready())
    }) {
        return Ending::NotRun;
    }
    let until = Instant::now() + Duration::from_secs(seconds);
    let machines: Vec<Arc<Mutex<Machine>>> = daemons.iter().map(|_| Arc::default()).collect();
    for (daemon, machine) in daemons.iter().zip(&machines) {
        let listener = TcpListener::bind(daemon.app).unwrap();
        let (state, record2) = (Arc::clone(machine), record.clone());
        serve(listener, move |request, stream| {
            {
                let mut state = state.lock().unwrap();
                if !state.is_up {
                    return Err(std::io::ErrorKind::ConnectionReset.into());
                }
                let target = request.header("target-instance");
                if target != state.id {
                    return write_answer(
                        stream,
                        "421 Misdirected Request",
                        &[("Attempt-Id", request.header("attempt-id"))],
                        b"",
                    );
                }
                state.served += 1;
                let now_ms = record2.now_ms();
                if let Some(at_ms) = state.acknowledged_ms.filter(|at_ms| now_ms > at_ms + 2_000) {
                    let line = format!(
                        "DRAIN {} got {} {} ms after the acknowledgement",
                        state.id,
                        request.header("attempt-id"),
                        now_ms - at_ms
                    );
                    record2.write(&line);
                    state.late.push(line);
                }
            }
            thread::sleep(Duration::from_millis(20));
            write_answer(stream, "200 OK", &stamped(&request, "stamp"), b"slots")
        });
        let (state, rng, record, control, app) = (
            Arc::clone(machine),
            rng.clone(),
            record.clone(),
            daemon.control,
            daemon.app,
        );
        let name = daemon.name.clone();
        thread::spawn(move || {
            let mut number = 0;
            let mut id = format!("i-{name}-0");
            while Instant::now() < until {
                number += 1;
                if rng.below(3) > 0 {
                    id = format!("i-{name}-{number}");
                }
                let born = unix_ms();
                {
                    let mut state = state.lock().unwrap();
                    (state.id, state.is_up, state.acknowledged_ms) = (id.clone(), true, None);
                }
                let mut sequence = 0;
                let leaves_at = Instant::now() + Duration::from_millis(2_000 + rng.below(6_000));
                while Instant::now() < leaves_at {
                    sequence += 1;
                    let _ = announce(control, &id, born, Some(("ready", sequence, app)));
                    thread::sleep(
                        Duration::from_millis(1_500).min(leaves_at.saturating_duration_since(Instant::now())),
                    );
                }
                // A heartbeat from before the departure arrives up to 5 s late.
                sequence += 1;
                let late = sequence;
                let (late_id, delay) = (id.clone(), Duration::from_millis(rng.below(5_000)));
                let is_late = rng.below(3) > 0;
                thread::spawn(move || {
                    thread::sleep(delay);
                    if is_late {
                        let _ = announce(control, &late_id, born, Some(("ready", late, app)));
                    }
                });
                if rng.below(6) == 0 {
                    // It crashes.
                    record.write(&format!("{id} crashes"));
                    state.lock().unwrap().is_up = false;
                } else {
                    let is_abrupt = rng.below(3) == 0;
                    let mut is_acknowledged = false;
                    let gives_up_at = Instant::now() + Duration::from_secs(5);
                    while !is_acknowledged && Instant::now() < gives_up_at {
                        sequence += 1;
                        let what = (!is_abrupt).then_some(("draining", sequence, app));
                        is_acknowledged = announce(control, &id, born, what) / 100 == 2;
                        if !is_acknowledged {
                            thread::sleep(Duration::from_millis(300));
                        }
                    }
                    record.write(&format!(
                        "{id} leaves, abrupt={is_abrupt} acknowledged={is_acknowledged}"
                    ));
                    {
                        let mut state = state.lock().unwrap();
                        state.departures += 1;
                        if is_acknowledged {
                            state.acknowledged_ms = Some(record.now_ms());
                        } else {
                            state.unacknowledged += 1;
                        }
                    }
                    let ends_at = Instant::now() + Duration::from_millis(2_200 + rng.below(8_000));
                    while Instant::now() < ends_at {
                        thread::sleep(
                            Duration::from_millis(1_500)
                                .min(ends_at.saturating_duration_since(Instant::now())),
                        );
                        if !is_abrupt {
                            sequence += 1;
                            let _ = announce(control, &id, born, Some(("draining", sequence, app)));
                        }
                    }
                    if !is_abrupt {
                        let _ = announce(control, &id, born, None);
                    }
                    state.lock().unwrap().is_up = false;
                }
                thread::sleep(Duration::from_millis(100 + rng.below(1_500)));
            }
        });
    }
    thread::sleep(Duration::from_secs(3));
    let client = Client::new(record);
    let until_ms = record.now_ms() + (seconds - 6) * 1_000;
    let runs: Vec<_> = daemons
        .iter()
        .map(|daemon| client.run(daemon.outbound, ("GET", "/slot/x"), (25, until_ms)))
        .collect();
    while Instant::now() + Duration::from_secs(6) < until {
        let daemon = &daemons[rng.below(daemons.len() as u64) as usize];
        match rng.below(4) {
            0 => {
                daemon.signal("STOP");
                record.write(&format!("{} freezes", daemon.name));
                thread::sleep(Duration::from_millis(500 + rng.below(3_500)));
                daemon.signal("CONT");
                record.write(&format!("{} wakes", daemon.name));
            }
            1 => {
                daemon.signal("TERM");
                record.write(&format!("{} gets SIGTERM", daemon.name));
                let _ = wait_for(Duration::from_secs(6), || daemon.has_ended());
                daemon.kill();
                daemon.spawn();
            }
            _ => {
                daemon.kill();
                record.write(&format!("{} is killed", daemon.name));
                thread::sleep(Duration::from_millis(rng.below(1_500)));
                daemon.spawn();
            }
        }
        thread::sleep(Duration::from_millis(100 + rng.below(1_500)));
    }
    for run in runs {
        let _ = run.join();
    }
    let mut is_broken = false;
    for machine in &machines {
        let machine = machine.lock().unwrap();
        record.print(&format!(
            "served {}, departures {}, unacknowledged {}, late requests {}",
            machine.served,
            machine.departures,
            machine.unacknowledged,
            machine.late.len()
        ));
        machine.late.iter().take(3).for_each(|line| record.print(line));
        is_broken |= !machine.late.is_empty();
    }
    if is_broken { Ending::Broken } else { Ending::Held }
}
