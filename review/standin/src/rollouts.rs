//! A search, not a case: rollouts under random disruptions that end. Checked is that each rollout has an end some seconds
//! after its deadline, and that requests are served then.

use {
    crate::{
        Ending,
        mesh::{Client, Daemon, Endpoint, Record, Route, Work, put_config, sleep_until, stamped, wait_for},
        msgpack::{Value, map, text},
        store::Store,
    },
    std::{
        env,
        sync::{Arc, atomic::AtomicU64, atomic::Ordering},
        thread,
        time::Duration,
    },
};

const DURATION_MS: u64 = 14_000;

fn random(state: &AtomicU64, limit: u64) -> u64 {
    let mut x = state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) % limit
}

fn start(
    folder: &str,
    store: &Store,
    numbers: std::ops::RangeInclusive<usize>,
    (version, is_bad): (&str, bool),
    record: &Record,
) -> Vec<(Daemon, Endpoint)> {
    let daemons: Vec<Daemon> = numbers
        .map(|number| Daemon::start(folder, &format!("sidecar-{number}"), "balcao", store.open_door()))
        .collect();
    thread::sleep(Duration::from_millis(500));
    let count = Arc::new(AtomicU64::new(0));
    let work: Work = Arc::new(move |request, stream| {
        thread::sleep(Duration::from_millis(30));
        let fails = is_bad && count.fetch_add(1, Ordering::Relaxed).is_multiple_of(2);
        let status = if fails {
            "500 Internal Server Error"
        } else {
            "200 OK"
        };
        crate::http::write_answer(stream, status, &stamped(request, "stamp"), b"whole answer")
    });
    let with_endpoint = |daemon: Daemon| {
        let id = format!("i-of-{}", daemon.name);
        let endpoint = Endpoint::start(&daemon, &id, "balcao", version, Arc::clone(&work), record);
        (daemon, endpoint)
    };
    daemons.into_iter().map(with_endpoint).collect()
}

pub fn run(folder: &str, record: &Record) -> Ending {
    let seed: u64 = env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let rng = AtomicU64::new(seed.wrapping_mul(0x1234_5678_9abc_def1));
    let store = Store::default();
    let routes = [Route {
        name: "read",
        prefix: "/read/",
        kind: "idempotent",
        service: "balcao",
        timeout_ms: 1_200,
        target_latency_ms: 600,
        attempts: 2,
    }];
    put_config(&store, 7, &routes, &["balcao"]);
    let old = start(folder, &store, 1..=3, ("v1", false), record);
    let client = Client::new(record);
    let serves = |daemon: &Daemon| client.send(daemon.outbound, "GET", "/read/one", 1_000).status == 200;
    if !wait_for(Duration::from_secs(15), || {
        old.iter().all(|(daemon, _)| daemon.is_ready() && serves(daemon))
    }) {
        return Ending::NotRun;
    }
    thread::sleep(Duration::from_millis(2_000));
    let document = map([
        ("service", text("balcao")),
        ("target_version", text("v2")),
        ("duration_s", Value::Float(DURATION_MS as f64 / 1e3)),
    ]);
    let is_bad = seed.is_multiple_of(2);
    store.put("op/rollout/balcao", &document.encode());
    let ordered_ms = record.now_ms();
    let new = start(folder, &store, 4..=6, ("v2", is_bad), record);
    let machines: Vec<&(Daemon, Endpoint)> = old.iter().chain(&new).collect();
    let until_ms = ordered_ms + DURATION_MS + 14_000;
    let runs: Vec<_> = machines
        .iter()
        .map(|(daemon, _)| client.run(daemon.outbound, ("GET", "/read/x"), (40, until_ms)))
        .collect();
    let mut troubles = Vec::new();
    while record.now_ms() < ordered_ms + DURATION_MS - 2_000 {
        let (daemon, _) = machines[random(&rng, machines.len() as u64) as usize];
        match random(&rng, 6) {
            0 => {
                troubles.push(format!("{} freezes", daemon.name));
                daemon.signal("STOP");
                thread::sleep(Duration::from_millis(500 + random(&rng, 3_500)));
                daemon.signal("CONT");
            }
            1 => {
                troubles.push(format!("{} terminated", daemon.name));
                daemon.signal("TERM");
                let _ = wait_for(Duration::from_secs(6), || daemon.has_ended());
                daemon.kill();
                daemon.spawn();
            }
            2 => {
                troubles.push(format!("{} refused", daemon.name));
                daemon.door.refuse(true);
                thread::sleep(Duration::from_millis(random(&rng, 4_000)));
                daemon.door.refuse(false);
            }
            3 => {
                troubles.push("all old killed".to_owned());
                old.iter().for_each(|(daemon, _)| daemon.kill());
                thread::sleep(Duration::from_millis(300 + random(&rng, 1_200)));
                old.iter().for_each(|(daemon, _)| daemon.spawn());
            }
            4 => {
                troubles.push("all killed".to_owned());
                machines.iter().for_each(|(daemon, _)| daemon.kill());
                thread::sleep(Duration::from_millis(300 + random(&rng, 700)));
                machines.iter().for_each(|(daemon, _)| daemon.spawn());
            }
            _ => {
                troubles.push(format!("{} killed", daemon.name));
                daemon.kill();
                thread::sleep(Duration::from_millis(random(&rng, 1_500)));
                daemon.spawn();
            }
        }
        thread::sleep(Duration::from_millis(random(&rng, 2_000)));
    }
    let state = || {
        store
            .value("status/rollout/balcao")
            .map_or_else(String::new, |status| status.text("state"))
    };
    let mut ended_ms = None;
    while record.now_ms() < ordered_ms + DURATION_MS + 8_000 {
        if ended_ms.is_none() && ["completed", "reverted"].contains(&state().as_str()) {
            ended_ms = Some(record.now_ms() - ordered_ms);
            let stopped = if state() == "completed" { &old } else { &new };
            stopped.iter().for_each(|(_, endpoint)| endpoint.end());
        }
        thread::sleep(Duration::from_millis(50));
    }
    let from_ms = record.now_ms();
    sleep_until(record, until_ms);
    runs.into_iter().for_each(|run| drop(run.join()));
    let outcomes = client.outcomes.lock().unwrap();
    let sent: Vec<_> = outcomes
        .values()
        .filter(|outcome| outcome.sent_ms > from_ms)
        .collect();
    let served = sent.iter().filter(|outcome| outcome.status == 200).count();
    let record_of = store
        .value("own/service/balcao")
        .map(|value| value.text("version"));
    record.print(&format!(
        "seed {seed} bad={is_bad} state={} ended={ended_ms:?} record={record_of:?} served {served} of {}: {troubles:?}",
        state(),
        sent.len()
    ));
    let is_wrong = is_bad && state() == "completed";
    if ended_ms.is_none() || is_wrong || served * 10 < sent.len() * 8 {
        return Ending::Broken;
    }
    Ending::Held
}
