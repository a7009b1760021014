//! DRAIN: the time of day of a machine jumps back, and its endpoint starts again under its id.

use {
    crate::{
        Ending,
        mesh::{
            Client, Daemon, Endpoint, Record, Route, has_trouble, plain_work, put_config, sleep_until,
            unix_ms, wait_for,
        },
        store::Store,
    },
    std::{
        sync::{Arc, atomic::AtomicBool, atomic::Ordering},
        thread,
        time::Duration,
    },
};

/// The rule's `drain` and `contact`, in milliseconds.
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
/// Size of the step, in milliseconds: the largest dose.
const STEP_MS: u64 = 2_000;

pub fn run(folder: &str, record: &Record) -> Ending {
    let store = Store::default();
    // As in the small site: eight endpoints of the one service.
    let services: Vec<&str> = [["balcao"; 8].as_slice(), ["expedicao"; 2].as_slice()].concat();
    let daemons: Vec<Daemon> = services
        .iter()
        .enumerate()
        .map(|(number, service)| {
            Daemon::start(
                folder,
                &format!("sidecar-{}", number + 1),
                service,
                store.open_door(),
            )
        })
        .collect();
    let route = |name, prefix, kind, timeout_ms| Route {
        name,
        prefix,
        kind,
        service: "balcao",
        timeout_ms,
        target_latency_ms: 600,
        attempts: 2,
    };
    let routes = [
        route("book", "/book/", "non_idempotent", 1_500),
        route("stock", "/stock/", "idempotent", 1_200),
    ];
    put_config(&store, 7, &routes, &["expedicao", "balcao"]);
    if !wait_for(Duration::from_secs(15), || daemons.iter().all(Daemon::is_ready)) {
        return Ending::NotRun;
    }
    let ends: Vec<Arc<AtomicBool>> = services.iter().map(|_| Arc::default()).collect();
    let start = |number: usize| {
        let work = plain_work(Duration::from_millis(100), 400, Arc::clone(&ends[number]));
        Endpoint::start(
            &daemons[number],
            &format!("i-{number}"),
            services[number],
            "v1",
            work,
            record,
        )
    };
    let others: Vec<Endpoint> = (1..services.len()).map(start).collect();
    let client = Client::new(record);
    let is_served = wait_for(Duration::from_secs(15), || {
        daemons[1..]
            .iter()
            .all(|daemon| client.send(daemon.outbound, "GET", "/stock/one", 1_000).status == 200)
    });
    if !is_served {
        return Ending::NotRun;
    }
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    let begin_ms = record.now_ms();
    let until_ms = begin_ms + 17_000;
    let runs: Vec<_> = daemons
        .iter()
        .flat_map(|daemon| {
            [
                client.run(daemon.outbound, ("POST", "/book/x"), (100, until_ms)),
                client.run(daemon.outbound, ("GET", "/stock/x"), (100, until_ms)),
            ]
        })
        .collect();
    let restarting = start(0);
    record.print("the endpoint i-0 starts");
    sleep_until(record, begin_ms + 500);
    let step_ms = if has_trouble() { STEP_MS } else { 0 };
    if has_trouble() {
        record.print(&format!(
            "the time of day jumps back by {step_ms} ms on the machine of i-0"
        ));
    }
    sleep_until(record, begin_ms + 600);
    ends[0].store(true, Ordering::Relaxed);
    restarting.end();
    sleep_until(record, begin_ms + 800);
    ends[0].store(false, Ordering::Relaxed);
    restarting.start_again(unix_ms() - step_ms);
    record.print("i-0 has crashed and starts again under its id");
    // The step is over for far longer than `contact` when the endpoint leaves.
    sleep_until(record, begin_ms + 9_000);
    restarting.beats.store(false, Ordering::Relaxed);
    let status = restarting.leave();
    let acknowledged_ms = record.now_ms();
    record.print(&format!("i-0 leaves at {acknowledged_ms} ms: {status}"));
    if status / 100 != 2 {
        return Ending::NotRun;
    }
    // It goes on for some seconds, then exits.
    sleep_until(record, begin_ms + 15_000);
    ends[0].store(true, Ordering::Relaxed);
    restarting.end();
    for run in runs {
        let _ = run.join();
    }
    let outcomes = client.outcomes.lock().unwrap();
    let arrivals = restarting.arrivals.lock().unwrap();
    let before = arrivals
        .iter()
        .filter(|arrival| arrival.at_ms <= acknowledged_ms)
        .count();
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.at_ms > acknowledged_ms + DRAIN_MS)
        .filter(|arrival| outcomes.contains_key(&arrival.id))
        .count();
    let answered = outcomes
        .values()
        .filter(|outcome| outcome.sent_ms > acknowledged_ms && outcome.status == 200)
        .count();
    record.print(&format!(
        "i-0 got {before} requests before it left, and {late} later than {DRAIN_MS} ms after the acknowledgement; {answered} \
         were answered 200 after it at all endpoints"
    ));
    drop(others);
    if before == 0 || answered == 0 {
        return Ending::NotRun;
    }
    if late > 0 { Ending::Broken } else { Ending::Held }
}
