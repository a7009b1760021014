//! DRAIN: all daemons are killed right after one of them acknowledged that an endpoint leaves.

use {
    crate::{
        Ending,
        mesh::{
            Client, Daemon, Endpoint, Record, Route, has_trouble, plain_work, put_config, sleep_until,
            wait_for,
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

pub fn run(folder: &str, record: &Record) -> Ending {
    let store = Store::default();
    let daemons: Vec<Daemon> = (1..=4)
        .map(|number| {
            Daemon::start(
                folder,
                &format!("sidecar-{number}"),
                "expedicao",
                store.open_door(),
            )
        })
        .collect();
    let routes = [
        Route {
            name: "order",
            prefix: "/order/",
            kind: "non_idempotent",
            service: "expedicao",
            timeout_ms: 1_000,
            target_latency_ms: 600,
            attempts: 2,
        },
        Route {
            name: "slot",
            prefix: "/slot/",
            kind: "idempotent",
            service: "expedicao",
            timeout_ms: 600,
            target_latency_ms: 600,
            attempts: 2,
        },
    ];
    put_config(&store, 7, &routes, &["expedicao"]);
    let ends: Vec<Arc<AtomicBool>> = (0..4).map(|_| Arc::default()).collect();
    let endpoints: Vec<Endpoint> = daemons
        .iter()
        .zip(&ends)
        .enumerate()
        .map(|(number, (daemon, end))| {
            let work = plain_work(Duration::from_millis(250), 400, Arc::clone(end));
            Endpoint::start(daemon, &format!("i-{number}"), "expedicao", "v1", work, record)
        })
        .collect();
    let client = Client::new(record);
    let is_served = wait_for(Duration::from_secs(20), || {
        daemons.iter().all(Daemon::is_ready)
            && daemons
                .iter()
                .all(|daemon| client.send(daemon.outbound, "GET", "/slot/one", 2_000).status == 200)
    });
    if !is_served {
        return Ending::NotRun;
    }
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    let begin_ms = record.now_ms();
    let until_ms = begin_ms + 16_000;
    let runs: Vec<_> = daemons
        .iter()
        .flat_map(|daemon| {
            [
                client.run(daemon.outbound, ("PUT", "/order/x"), (50, until_ms)),
                client.run(daemon.outbound, ("GET", "/slot/x"), (100, until_ms)),
            ]
        })
        .collect();
    sleep_until(record, begin_ms + 2_000);
    // The last heartbeat before the departure is on its way for seconds.
    let leaving = &endpoints[0];
    leaving.beats.store(false, Ordering::Relaxed);
    let late = leaving.next_sequence();
    record.write(&format!(
        "endpoint i-0 sends heartbeat {late}, which is on its way"
    ));
    sleep_until(record, begin_ms + 2_300);
    let acknowledged = leaving.leave() / 100 == 2;
    let acknowledged_ms = record.now_ms();
    if !acknowledged {
        return Ending::NotRun;
    }
    record.print(&format!(
        "the departure of i-0 is acknowledged at {acknowledged_ms} ms"
    ));
    if has_trouble() {
        thread::sleep(Duration::from_millis(100));
        daemons.iter().for_each(|daemon| daemon.signal("KILL"));
        daemons.iter().for_each(Daemon::kill);
        record.print("all daemons are killed");
        thread::sleep(Duration::from_millis(500));
        daemons.iter().for_each(Daemon::spawn);
        record.print("all daemons are started again");
    }
    let restarted_ms = record.now_ms();
    // The heartbeat arrives 2 s late.
    sleep_until(record, begin_ms + 4_000);
    let mut status = leaving.beat("ready", late);
    while status == 0 && record.now_ms() < begin_ms + 5_000 {
        // The connection was refused, as the process was not up: what was on its way is sent again.
        thread::sleep(Duration::from_millis(100));
        status = leaving.beat("ready", late);
    }
    record.print(&format!(
        "heartbeat {late} of i-0, from before its departure, arrives late: {status}"
    ));
    // The endpoint goes on for many seconds, then exits.
    sleep_until(record, begin_ms + 14_000);
    let ended_ms = record.now_ms();
    ends[0].store(true, Ordering::Relaxed);
    leaving.end();
    for run in runs {
        let _ = run.join();
    }
    // Counted are requests that machines in touch have taken from clients and sent on.
    let counted_from = if has_trouble() {
        restarted_ms + CONTACT_MS
    } else {
        acknowledged_ms
    };
    let late_from = acknowledged_ms + DRAIN_MS;
    let outcomes = client.outcomes.lock().unwrap();
    let arrivals = leaving.arrivals.lock().unwrap();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at_ms > late_from)
        .filter(|arrival| {
            outcomes
                .get(&arrival.id)
                .is_some_and(|outcome| outcome.sent_ms > counted_from)
        })
        .collect();
    let lost = arrivals.iter().filter(|arrival| {
        let outcome = outcomes.get(&arrival.id);
        arrival.at_ms + 200 > ended_ms && outcome.is_some_and(|outcome| outcome.status != 200)
    });
    let after = |status: u16| {
        outcomes
            .values()
            .filter(|outcome| outcome.sent_ms > counted_from && outcome.status == status)
            .count()
    };
    record.print(&format!(
        "requests sent from {counted_from} ms on: {} answered 200, {} answered 503, {} answered 504",
        after(200),
        after(503),
        after(504)
    ));
    record.print(&format!(
        "i-0 got {} of them later than {DRAIN_MS} ms after the acknowledgement; {} of its requests were lost when it ended",
        late.len(),
        lost.count()
    ));
    if after(200) == 0 {
        return Ending::NotRun;
    }
    if late.is_empty() {
        Ending::Held
    } else {
        Ending::Broken
    }
}
