//! A search, not a case: the time until a change is in force while daemons are frozen, killed or turned away by the store.

use {
    crate::{
        Ending,
        http::write_answer,
        mesh::{Client, Daemon, Endpoint, Record, Route, Work, put_config, stamped, wait_for},
        store::Store,
    },
    std::{
        env,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

fn random(state: &AtomicU64, limit: u64) -> u64 {
    let mut x = state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) % limit
}

pub fn run(folder: &str, record: &Record) -> Ending {
    let seed: u64 = env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let rng = AtomicU64::new(seed.wrapping_mul(0x1234_5678_9abc_def1));
    let store = Store::default();
    let daemons: Vec<Daemon> = (1..=8)
        .map(|number| Daemon::start(folder, &format!("sidecar-{number}"), "balcao", store.open_door()))
        .collect();
    let route = |name: &'static str, prefix: &'static str| Route {
        name,
        prefix,
        kind: "idempotent",
        service: "balcao",
        timeout_ms: 1_200,
        target_latency_ms: 600,
        attempts: 2,
    };
    let put = |version: i64| {
        let changing = if version % 2 == 0 {
            route("even", "/even/")
        } else {
            route("odd", "/odd/")
        };
        put_config(&store, version, &[route("read", "/read/"), changing], &["balcao"]);
    };
    put(6);
    if !wait_for(Duration::from_secs(15), || daemons.iter().all(Daemon::is_ready)) {
        return Ending::NotRun;
    }
    let work: Work = Arc::new(|request, stream| {
        write_answer(stream, "200 OK", &stamped(request, "stamp"), b"whole answer")
    });
    let endpoints: Vec<Endpoint> = daemons
        .iter()
        .map(|daemon| {
            Endpoint::start(
                daemon,
                &format!("i-of-{}", daemon.name),
                "balcao",
                "v1",
                Arc::clone(&work),
                record,
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let client = Client::new(record);
    let wrong = Arc::new(Mutex::new(Vec::new()));
    let mut version = 6;
    let until = Instant::now() + Duration::from_secs(75);
    while Instant::now() < until {
        let troubled = random(&rng, daemons.len() as u64) as usize;
        let kind = random(&rng, 3);
        let daemon = &daemons[troubled];
        match kind {
            0 => daemon.signal("STOP"),
            1 => daemon.kill(),
            _ => daemon.door.refuse(true),
        }
        thread::sleep(Duration::from_millis(random(&rng, 1_500)));
        version += 1;
        put(version);
        let written = Instant::now();
        let (added, dropped) = if version % 2 == 0 {
            ("/even/x", "/odd/x")
        } else {
            ("/odd/x", "/even/x")
        };
        thread::sleep(Duration::from_millis(2_010).saturating_sub(written.elapsed()));
        thread::scope(|scope| {
            for (number, daemon) in daemons.iter().enumerate() {
                if number == troubled && kind < 2 {
                    continue;
                }
                let (client, wrong) = (&client, &wrong);
                scope.spawn(move || {
                    let (new, old) = (
                        client.send(daemon.outbound, "GET", added, 1_000).status,
                        client.send(daemon.outbound, "GET", dropped, 1_000).status,
                    );
                    if new == 404 || old == 200 {
                        let line = format!(
                            "{} version {version} kind {kind}: added {new}, dropped {old}",
                            daemon.name
                        );
                        wrong.lock().unwrap().push(line);
                    }
                });
            }
        });
        match kind {
            0 => daemon.signal("CONT"),
            1 => daemon.spawn(),
            _ => daemon.door.refuse(false),
        }
        thread::sleep(Duration::from_millis(4_000));
    }
    drop(endpoints);
    let wrong = wrong.lock().unwrap();
    record.print(&format!("{} changes, {} daemons late", version - 6, wrong.len()));
    wrong.iter().for_each(|line| record.print(line));
    if wrong.is_empty() {
        Ending::Held
    } else {
        Ending::Broken
    }
}
