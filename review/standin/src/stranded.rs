//! CONFIG: the machines of the old version are lost while a rollout is open.

use {
    crate::{
        Ending,
        mesh::{
            Client, Daemon, Endpoint, Outcome, Record, Route, Work, has_trouble, put_config, sleep_until,
            stamped, wait_for,
        },
        msgpack::{Value, map, text},
        store::Store,
    },
    std::{sync::Arc, thread, time::Duration},
};

/// Time that the order allows, in milliseconds.
const DURATION_MS: u64 = 16_000;
/// The rule's `contact` and `configApply`, in milliseconds.
const CONTACT_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 2_000;
/// Requests on routes that were added later from which the rule applies, and the share of the first ones that it asks for.
const LEAST_REQUESTS: usize = 20;
const LEAST_SHARE: f64 = 0.25;

fn start(
    folder: &str,
    store: &Store,
    numbers: std::ops::RangeInclusive<usize>,
    (service, version): (&str, &str),
    record: &Record,
) -> Vec<(Daemon, Endpoint)> {
    let daemons: Vec<Daemon> = numbers
        .map(|number| Daemon::start(folder, &format!("sidecar-{number}"), service, store.open_door()))
        .collect();
    thread::sleep(Duration::from_millis(500));
    let work: Work = Arc::new(|request, stream| {
        thread::sleep(Duration::from_millis(30));
        crate::http::write_answer(stream, "200 OK", &stamped(request, "stamp"), b"whole answer")
    });
    let with_endpoint = |daemon: Daemon| {
        let id = format!("i-of-{}", daemon.name);
        let endpoint = Endpoint::start(&daemon, &id, service, version, Arc::clone(&work), record);
        (daemon, endpoint)
    };
    daemons.into_iter().map(with_endpoint).collect()
}

pub fn run(folder: &str, record: &Record) -> Ending {
    let store = Store::default();
    let route = |name, prefix, kind, service| Route {
        name,
        prefix,
        kind,
        service,
        timeout_ms: 1_200,
        target_latency_ms: 600,
        attempts: 2,
    };
    let order = || route("order", "/order/", "non_idempotent", "expedicao");
    let stock = || route("stock", "/stock/", "idempotent", "balcao");
    let services = ["balcao", "expedicao"];
    put_config(&store, 7, &[order(), stock()], &services);
    let others = start(folder, &store, 1..=3, ("expedicao", "v1"), record);
    let old = start(folder, &store, 4..=5, ("balcao", "v1"), record);
    let client = Client::new(record);
    let is_served = wait_for(Duration::from_secs(15), || {
        let all = others.iter().chain(&old);
        all.map(|(daemon, _)| daemon).all(|daemon| {
            daemon.is_ready()
                && client.send(daemon.outbound, "PUT", "/order/one", 1_000).status == 200
                && client.send(daemon.outbound, "GET", "/stock/one", 1_000).status == 200
        })
    });
    if !is_served {
        return Ending::NotRun;
    }
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));

    // The new endpoints are started alongside the old ones, as the operator orders the rollout.
    let duration = Value::Float(DURATION_MS as f64 / 1e3);
    let document = map([
        ("service", text("balcao")),
        ("target_version", text("v2")),
        ("duration_s", duration),
    ]);
    store.put("op/rollout/balcao", &document.encode());
    let ordered_ms = record.now_ms();
    record.print(&format!(
        "at {ordered_ms} ms a rollout of balcao to v2 in {DURATION_MS} ms is ordered"
    ));
    let new = start(folder, &store, 6..=7, ("balcao", "v2"), record);
    let status = || {
        store
            .value("status/rollout/balcao")
            .map_or_else(String::new, |status| status.text("state"))
    };
    let until_ms = ordered_ms + DURATION_MS + 13_000;
    let runs: Vec<_> = others
        .iter()
        .chain(&new)
        .flat_map(|(daemon, _)| {
            [
                client.run(daemon.outbound, ("PUT", "/order/x"), (100, until_ms)),
                client.run(daemon.outbound, ("GET", "/stock/x"), (100, until_ms)),
            ]
        })
        .collect();
    sleep_until(record, ordered_ms + 3_000);
    let stop_old = || {
        for (daemon, endpoint) in &old {
            endpoint.end();
            daemon.kill();
        }
    };
    if has_trouble() {
        stop_old();
        record.print(
            "the two machines of balcao v1 are lost for good; two with v2 go on, and those of expedicao",
        );
    }
    while record.now_ms() < ordered_ms + DURATION_MS + 1_000 {
        if !has_trouble() && status() == "completed" && !old[0].1.has_ended() {
            // At this status the platform stops the old endpoints at once.
            stop_old();
            record.print("the rollout is completed, the old endpoints stop");
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.print(&format!(
        "1 s after the deadline of the rollout its status is {:?}",
        status()
    ));
    if !has_trouble() && !old[0].1.has_ended() {
        return Ending::NotRun;
    }

    // Everything has been calm for longer than `contact`. The operator adds a route.
    let tray = route("tray", "/tray/", "idempotent", "balcao");
    put_config(&store, 8, &[order(), stock(), tray], &services);
    let added_ms = record.now_ms();
    record.print(&format!("at {added_ms} ms the route /tray/ to balcao is added"));
    sleep_until(record, added_ms + CONFIG_APPLY_MS + 500);
    let steady_ms = record.now_ms();
    let later: Vec<_> = others
        .iter()
        .chain(&new)
        .map(|(daemon, _)| client.run(daemon.outbound, ("GET", "/tray/x"), (100, until_ms - 1_500)))
        .collect();
    runs.into_iter().chain(later).for_each(|run| drop(run.join()));

    let outcomes = client.outcomes.lock().unwrap();
    let steady: Vec<&Outcome> = outcomes
        .values()
        .filter(|outcome| outcome.sent_ms >= steady_ms)
        .collect();
    let served = |paths: &[&str]| {
        let on_paths: Vec<_> = steady
            .iter()
            .filter(|outcome| paths.contains(&outcome.path.as_str()))
            .collect();
        let count = on_paths.iter().filter(|outcome| outcome.status == 200).count();
        record.print(&format!(
            "{paths:?} in steady state: {count} of {} served",
            on_paths.len()
        ));
        (on_paths.len(), count as f64 / on_paths.len().max(1) as f64)
    };
    served(&["/order/x"]);
    served(&["/stock/x"]);
    let (_, first) = served(&["/order/x", "/stock/x"]);
    let (count, added) = served(&["/tray/x"]);
    let ready = new
        .iter()
        .filter(|(daemon, endpoint)| !daemon.has_ended() && !endpoint.has_ended())
        .count();
    record.print(&format!(
        "{ready} endpoints of balcao are up and say that they are ready; the status is {:?}",
        status()
    ));
    if count < LEAST_REQUESTS || first == 0.0 {
        return Ending::NotRun;
    }
    if added < LEAST_SHARE * first {
        Ending::Broken
    } else {
        Ending::Held
    }
}
