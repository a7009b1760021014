//! Cost of the control plane by size: convergence time, store calls, control bytes, CPU time and memory of 10 and 100
//! real daemons, and of one daemon with up to 4,000 members and 560 pools.

#[path = "../tests/common/mesh.rs"]
mod mesh;
#[path = "common/process.rs"]
mod process;

use {
    fuchsiashore::{
        clock::{ProcessClock, TimePoint},
        config::{
            ConfigTables, EditRequest, MovePolicy, PoolEntry, PoolShare, RepeatRule, RouteEntry, TableEdit,
        },
        daemon::{ControlReply, ControlRequest, decode_envelope, encode_envelope},
        member::{MemberRecord, MemberStatus, SyncRequest, TargetRecord, TargetStatus},
        store::{HttpStore, write_change},
        timeline::{HybridStamp, TimelineEvent},
    },
    mesh::Mesh,
    process::{cpu_ms, memory_mb},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time over which the usage of idle daemons is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(15);
/// Number of configuration changes of which the cost is averaged.
const CHANGES: usize = 3;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        println!("| daemons | convergence ms, median / highest | store calls/s idle | store calls a change | control B/s a daemon idle | B a change and daemon | CPU % a daemon idle | MB a daemon |");
        println!("|---|---|---|---|---|---|---|---|");
        for count in [10, 100] {
            measure_mesh(count).await;
        }
        println!();
        println!("| known daemons | pools | CPU % idle | control B/s | MB |");
        println!("|---|---|---|---|---|");
        for (members, pools) in [(0, 1), (1_000, 140), (4_000, 560)] {
            measure_single_daemon(members, pools).await;
        }
    });
}

/// Resources used so far by all daemons of a mesh.
struct Usage {
    at: Instant,
    cpu_ms: f64,
    bytes: f64,
    store_calls: f64,
}

impl Usage {
    async fn now(mesh: &Mesh) -> Self {
        let mut bytes = 0.0;
        for pair in &mesh.pairs {
            bytes += control_bytes(pair.operators).await;
        }
        let cpu_ms = mesh.pairs.iter().map(|pair| cpu_ms(pair.daemon.id())).sum();
        let store_calls = mesh.put_to_store("/lab/calls").await.parse().unwrap_or(0.0);
        Self {
            at: Instant::now(),
            cpu_ms,
            bytes,
            store_calls,
        }
    }
}

async fn control_bytes(operators: SocketAddr) -> f64 {
    let text = reqwest::get(format!("http://{operators}/metrics"))
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    let lines = text
        .lines()
        .filter(|line| line.starts_with("fuchsiashore_control_bytes_total{"));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

async fn measure_mesh(count: usize) {
    let mut mesh = Mesh::start(&format!("scale-{count}"), 1);
    let target = mesh.pairs[0].target_address;
    for _ in 1..count {
        mesh.add_daemon("v1", target);
    }
    mesh.wait_for_serving(count);
    assert!(mesh.apply("v1", 600).status.success());
    tokio::time::sleep(Duration::from_secs(15)).await;
    let before = Usage::now(&mesh).await;
    tokio::time::sleep(IDLE_PERIOD).await;
    let after = Usage::now(&mesh).await;
    let idle_s = (after.at - before.at).as_secs_f64();
    let store_idle = (after.store_calls - before.store_calls) / idle_s;
    let bytes_idle = (after.bytes - before.bytes) / idle_s / count as f64;
    let cpu_idle = (after.cpu_ms - before.cpu_ms) / 10.0 / idle_s / count as f64;
    let (delays, changed) = make_changes(&mesh, after).await;
    let memory = mesh
        .pairs
        .iter()
        .map(|pair| memory_mb(pair.daemon.id()))
        .sum::<f64>()
        / count as f64;
    println!(
        "| {count} | {} / {} | {store_idle:.2} | {:.1} | {bytes_idle:.0} | {:.0} | {cpu_idle:.2} | {memory:.1} |",
        delays[delays.len() / 2],
        delays.last().unwrap(),
        changed.0 - store_idle * changed.2 / CHANGES as f64,
        (changed.1 - bytes_idle * changed.2) / CHANGES as f64,
    );
}

/// Makes [`CHANGES`] changes. Returns the sorted convergence times of all daemons and changes, in milliseconds, and
/// three figures since `before`: store calls per change, control bytes per daemon over all changes, and the elapsed
/// seconds.
async fn make_changes(mesh: &Mesh, before: Usage) -> (Vec<u64>, (f64, f64, f64)) {
    for change in 0..CHANGES {
        assert!(mesh.apply("v1", 700 + change as u64).status.success());
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    let after = Usage::now(mesh).await;
    let mut delays = Vec::new();
    for pair in &mesh.pairs {
        let url = format!("http://{}/timeline", pair.operators);
        let events: Vec<TimelineEvent> =
            serde_json::from_slice(&reqwest::get(url).await.unwrap().bytes().await.unwrap()).unwrap();
        // The first version is left out, as it reached daemons that were still starting.
        let applied = events
            .iter()
            .filter(|event| event.kind.as_str() == "applied")
            .skip(1);
        delays.extend(applied.filter_map(|event| event.detail.rsplit('=').next()?.parse::<u64>().ok()));
    }
    delays.sort_unstable();
    let seconds = (after.at - before.at).as_secs_f64();
    let store = (after.store_calls - before.store_calls) / CHANGES as f64;
    let bytes = (after.bytes - before.bytes) / mesh.pairs.len() as f64;
    (delays, (store, bytes, seconds))
}

/// Measures one daemon with many members, of which it probes one a second, and large tables.
async fn measure_single_daemon(members: usize, pools: usize) {
    let mesh = Mesh::start(&format!("known-{members}"), 1);
    let pair = &mesh.pairs[0];
    let store = HttpStore::new(&mesh.store.to_string());
    let clock = ProcessClock::start();
    let request = EditRequest {
        change_id: "bench".into(),
        base_version: None,
        author: "bench".into(),
        message: "bench".into(),
        at: clock.now(),
        edit: TableEdit::Replace {
            tables: tables(pools),
            again: false,
        },
    };
    write_change(&store, &clock, request, clock.now().after_ms(10_000))
        .await
        .unwrap();
    for chunk in (0..members).collect::<Vec<_>>().chunks(500) {
        send_members(&pair.control_address(), chunk).await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = Usage::now(&mesh).await;
    tokio::time::sleep(IDLE_PERIOD).await;
    let after = Usage::now(&mesh).await;
    let seconds = (after.at - before.at).as_secs_f64();
    println!(
        "| {members} | {pools} | {:.2} | {:.0} | {:.1} |",
        (after.cpu_ms - before.cpu_ms) / 10.0 / seconds,
        (after.bytes - before.bytes) / seconds,
        memory_mb(pair.daemon.id()),
    );
}

async fn send_members(control: &str, numbers: &[usize]) {
    let records: Vec<MemberRecord> = numbers.iter().map(|number| record(*number)).collect();
    let request = SyncRequest {
        own: records[0].clone(),
        digests: Vec::new(),
        records,
    };
    let stamp = HybridStamp::default();
    let bytes = encode_envelope(&"test".into(), stamp, ControlRequest::Sync(Box::new(request))).unwrap();
    let client = reqwest::Client::new();
    let answer = client
        .post(format!("http://{control}/control"))
        .body(bytes)
        .send()
        .await
        .unwrap();
    let bytes = answer.bytes().await.unwrap();
    decode_envelope::<ControlReply>("test", &bytes).expect("the daemon accepts the records");
}

fn record(number: usize) -> MemberRecord {
    // Addresses in 127.0.0.0/8 without a listener.
    let address =
        |port: u16| SocketAddr::from(([127, 1, (number / 250) as u8, (number % 250) as u8 + 1], port));
    MemberRecord {
        name: format!("service-{}-target-{number}", number / 7).into(),
        incarnation: 1,
        status: MemberStatus::Alive,
        control: address(7_002),
        gate: address(7_001),
        operators: address(7_003),
        region: format!("region-{}", number % 6).into(),
        data_centre: format!("centre-{}", number % 19).into(),
        target: TargetRecord {
            id: "t".into(),
            born: 0,
            service: format!("service-{}", number / 7).into(),
            version: "2026.12.1".into(),
            slots: 12,
            status: TargetStatus::Serving,
        },
        applied: 1,
    }
}

fn tables(pools: usize) -> ConfigTables {
    let mut tables = ConfigTables::default();
    for number in 0..pools {
        let pool = PoolEntry {
            service: format!("service-{number}").into(),
            version: "2026.12.1".into(),
            finish_by: Some(TimePoint(1_800_000_000_000)),
            policy: MovePolicy::Cautious,
            cold_calls_per_s: None,
        };
        tables.pools.insert(format!("pool-{number}").into(), pool);
        for route in 0..2 {
            let entry = RouteEntry {
                path: format!("/service-{number}/route-{route}").into(),
                methods: vec!["GET".into()],
                pools: PoolShare::whole(format!("pool-{number}")),
                repeat: RepeatRule::ByMethod,
                timeout_ms: 800,
                ..RouteEntry::default()
            };
            tables
                .routes
                .insert(format!("route-{number}-{route}").into(), entry);
        }
    }
    tables
}
