//! Overhead that two daemons add to a call, compared with direct calls and with two plain TCP relays as the baseline.
//! The three paths alternate within one run. Prints added latency at p50 and p99, CPU time per call and memory.

#[path = "../tests/common/mesh.rs"]
mod mesh;
#[path = "common/process.rs"]
mod process;

use {
    fuchsiashore::lab::{CallerSettings, TcpRelay, free_ports, run_caller},
    hdrhistogram::Histogram,
    mesh::Mesh,
    parking_lot::Mutex,
    process::{cpu_ms, memory_mb},
    std::{net::SocketAddr, sync::Arc},
};

/// Slices per path. The paths alternate by slice, so that other load on the machine affects all of them alike.
const SLICES: u32 = 12;

struct Path {
    name: &'static str,
    address: SocketAddr,
    latency_us: Histogram<u64>,
    cpu_ms: f64,
    failed: u64,
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(measure());
}

async fn measure() {
    let mut mesh = Mesh::start("hops", 1);
    let target_pair = mesh.add_pair("v2", "good", None);
    mesh.wait_for_serving(2);
    assert!(mesh.apply("v2", 600).status.success());
    let target = mesh.pairs[target_pair].target_address;
    let baseline = start_relays(target);
    // Waits for the end of the slow start, in which the gate opens the slots of a new target gradually.
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    let daemons = [mesh.pairs[0].daemon.id(), mesh.pairs[target_pair].daemon.id()];
    println!(
        "| calls/s | path | p50 ms | p99 ms | added p50 ms | added p99 ms | CPU ms a call, both daemons | failed |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for rate in [100, 1_000] {
        let mut paths = [
            ("direct", target),
            ("two TCP relays", baseline),
            ("both daemons", mesh.pairs[0].calls),
        ]
        .map(|(name, address)| Path {
            name,
            address,
            latency_us: Histogram::new_with_bounds(1, 60_000_000, 3).unwrap(),
            cpu_ms: 0.0,
            failed: 0,
        });
        for slice in 0..SLICES {
            for path in &mut paths {
                run_slice(path, rate, slice, &daemons).await;
            }
        }
        print_rows(rate, &paths);
    }
    println!(
        "memory of a daemon, MB: {:.1} (proxy), {:.1} (gate)",
        memory_mb(daemons[0]),
        memory_mb(daemons[1])
    );
}

async fn run_slice(path: &mut Path, rate: u32, slice: u32, daemons: &[u32; 2]) {
    let settings = CallerSettings {
        daemons: vec![path.address],
        requests: vec![(reqwest::Method::GET, "/stock?work_ms=0".into())],
        rate,
        count: rate,
        name: format!("{}-{slice}", path.name.replace(' ', "-")),
    };
    let cpu_before: f64 = daemons.iter().map(|id| cpu_ms(*id)).sum();
    let report = run_caller(settings).await;
    let cpu_after: f64 = daemons.iter().map(|id| cpu_ms(*id)).sum();
    path.cpu_ms += cpu_after - cpu_before;
    // The first slice opens the connections, so its latencies are left out.
    if slice > 0 {
        path.latency_us.add(&report.latency_us).unwrap();
    }
    path.failed += u64::from(rate) - report.outcomes.get("answered").copied().unwrap_or(0);
}

fn print_rows(rate: u32, paths: &[Path]) {
    let quantile_ms = |path: &Path, quantile| path.latency_us.value_at_quantile(quantile) as f64 / 1e3;
    let direct = &paths[0];
    for path in paths {
        let calls = f64::from(rate * SLICES);
        println!(
            "| {rate} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.3} | {} |",
            path.name,
            quantile_ms(path, 0.5),
            quantile_ms(path, 0.99),
            quantile_ms(path, 0.5) - quantile_ms(direct, 0.5),
            quantile_ms(path, 0.99) - quantile_ms(direct, 0.99),
            path.cpu_ms / calls,
            path.failed,
        );
    }
}

/// Starts two TCP relays in series in front of the target and returns the address of the first.
fn start_relays(target: SocketAddr) -> SocketAddr {
    let addresses = free_ports(2);
    for (listen_address, next_address) in [(addresses[0], addresses[1]), (addresses[1], target)] {
        let relay = Arc::new(Mutex::new(TcpRelay::default()));
        let listener = fuchsiashore::http::bind(listen_address).unwrap();
        tokio::spawn(TcpRelay::serve(relay, listener, next_address));
    }
    addresses[0]
}
