//! Fault injection on a mesh of real processes on loopback: SIGKILL, SIGSTOP, silent connections, drains, store
//! outages, lost store answers, a restarted daemon and a bad version.

#[path = "common/mesh.rs"]
mod mesh;

use {
    fuchsiashore::lab::{CallerReport, CallerSettings, TcpRelay, free_ports, run_caller},
    mesh::{Mesh, wait_until},
    parking_lot::Mutex,
    reqwest::StatusCode,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn caller_settings(daemons: Vec<SocketAddr>, name: &str, rate: u32, count: u32) -> CallerSettings {
    CallerSettings {
        daemons,
        requests: vec![
            (reqwest::Method::GET, "/stock".into()),
            (reqwest::Method::POST, "/reserve".into()),
        ],
        rate,
        count,
        name: name.into(),
    }
}

/// Asserts that each confirmed call ran exactly once, that no call refused as not run has run, and that every call got
/// a complete answer that belongs to it.
async fn assert_answers_match_runs(mesh: &Mesh, report: &CallerReport) {
    let runs = mesh.runs().await;
    for call in &report.confirmed {
        assert_eq!(
            runs.get(call),
            Some(&1),
            "confirmed call {call} did not run exactly once"
        );
    }
    for call in &report.not_run {
        assert_eq!(
            runs.get(call),
            None,
            "call {call} was refused as not run, but ran"
        );
    }
    assert_eq!(
        report.mismatched, 0,
        "answers belong to other calls or are incomplete"
    );
    assert_eq!(
        report.outcomes.get("cut"),
        None,
        "answers were cut: {:?}",
        report.outcomes
    );
    assert_eq!(
        report.outcomes.get("no-answer"),
        None,
        "calls got no answer: {:?}",
        report.outcomes
    );
}

fn answered_count(report: &CallerReport) -> u64 {
    report.outcomes.get("answered").copied().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_daemon_causes_no_lost_or_doubled_calls() {
    let mut mesh = Mesh::start("kill", 3);
    assert!(mesh.apply("v1", 600).status.success());
    let calls = tokio::spawn(run_caller(caller_settings(
        vec![mesh.pairs[0].calls],
        "kill",
        200,
        1_200,
    )));
    tokio::time::sleep(Duration::from_secs(1)).await;
    mesh.kill_daemon(2);
    tokio::time::sleep(Duration::from_secs(2)).await;
    mesh.restart_daemon(2);
    let report = calls.await.unwrap();
    assert_answers_match_runs(&mesh, &report).await;
    // Only non-repeatable calls that the killed gate had in flight may have an unknown outcome.
    let unknown = report.outcomes.get("unknown").copied().unwrap_or(0);
    assert!(
        unknown <= 12,
        "more calls have an unknown outcome than the gate has slots: {:?}",
        report.outcomes
    );
    assert_eq!(answered_count(&report) + unknown, 1_200, "{:?}", report.outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_at_a_frozen_daemon_are_retried_within_the_deadline() {
    let mesh = Mesh::start("freeze", 3);
    assert!(mesh.apply("v1", 600).status.success());
    let mut settings = caller_settings(vec![mesh.pairs[0].calls], "freeze", 50, 400);
    settings.requests.truncate(1);
    let calls = tokio::spawn(run_caller(settings));
    tokio::time::sleep(Duration::from_secs(1)).await;
    mesh.signal_daemon(1, "-STOP");
    let report = calls.await.unwrap();
    mesh.signal_daemon(1, "-CONT");
    assert_eq!(
        answered_count(&report),
        400,
        "repeatable calls were not retried successfully: {:?}",
        report.outcomes
    );
    assert_answers_match_runs(&mesh, &report).await;
    assert!(
        report.latency_us.max() < 4_000_000,
        "a call took longer than its deadline"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced_by_new_ones() {
    let mut mesh = Mesh::start("silent", 1);
    let [relay_address, unused] = free_ports(2)[..] else {
        unreachable!()
    };
    let relay = Arc::new(Mutex::new(TcpRelay::default()));
    let number = mesh.add_pair("v1", "good", Some(relay_address));
    let target_address = mesh.pairs[number].target_address;
    let _ = unused;
    let listener = fuchsiashore::http::bind(relay_address).unwrap();
    tokio::spawn(TcpRelay::serve(Arc::clone(&relay), listener, target_address));
    mesh.wait_for_serving(2);
    assert!(mesh.apply("v1", 600).status.success());
    let warm = run_caller(caller_settings(vec![mesh.pairs[0].calls], "warm", 100, 200)).await;
    assert_eq!(answered_count(&warm), 200, "{:?}", warm.outcomes);
    relay.lock().silence_open_connections();
    let mut settings = caller_settings(vec![mesh.pairs[0].calls], "silent", 100, 400);
    settings.requests.truncate(1);
    let report = run_caller(settings).await;
    assert_eq!(
        answered_count(&report),
        400,
        "repeatable calls were not answered: {:?}",
        report.outcomes
    );
    assert_answers_match_runs(&mesh, &report).await;
    // The target behind the relay has to be reached again, over new connections.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let later = run_caller(caller_settings(vec![mesh.pairs[0].calls], "later", 100, 200)).await;
    assert_eq!(answered_count(&later), 200, "{:?}", later.outcomes);
    assert!(
        later.latency_us.max() < 1_500_000,
        "a silent connection is still used"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_daemon_fails_no_calls_and_exits() {
    let mut mesh = Mesh::start("drain", 3);
    assert!(mesh.apply("v1", 600).status.success());
    let mut settings = caller_settings(vec![mesh.pairs[0].calls], "drain", 100, 600);
    settings.requests = vec![
        (reqwest::Method::GET, "/stock?work_ms=1800".into()),
        (reqwest::Method::POST, "/reserve?work_ms=1800".into()),
    ];
    // 8 calls/s of 1.8 s keep about 14 in flight, with 24 slots on the remaining daemons.
    settings.rate = 8;
    settings.count = 48;
    let calls = tokio::spawn(run_caller(settings));
    tokio::time::sleep(Duration::from_secs(1)).await;
    mesh.signal_daemon(1, "-TERM");
    let end = std::time::Instant::now() + mesh::WAIT_TIMEOUT;
    while mesh.pairs[1].daemon.try_wait().unwrap().is_none() {
        assert!(std::time::Instant::now() < end, "the drained daemon did not exit");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(mesh.pairs[1].daemon.wait().unwrap().success());
    let report = calls.await.unwrap();
    assert_eq!(
        answered_count(&report),
        48,
        "the drain failed calls: {:?}",
        report.outcomes
    );
    assert_answers_match_runs(&mesh, &report).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_blocks_changes_but_not_calls_or_restarts() {
    let mut mesh = Mesh::start("outage", 3);
    assert!(mesh.apply("v1", 600).status.success());
    assert!(mesh.apply("v1", 700).status.success());
    mesh.put_to_store("/lab/faults?down=true").await;
    let refused = mesh.apply("v1", 800);
    assert_eq!(
        refused.status.code(),
        Some(7),
        "{}",
        String::from_utf8_lossy(&refused.stderr)
    );
    mesh.kill_daemon(1);
    mesh.restart_daemon(1);
    let address = mesh.pairs[1].operators;
    wait_until("the restarted daemon to have version 2", || {
        let status = std::process::Command::new(env!("CARGO_BIN_EXE_fuchsiashore"))
            .args(["status", "--json", "--daemon", &address.to_string()])
            .output()
            .unwrap();
        let text = String::from_utf8(status.stdout).unwrap();
        let status_json: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        let daemons = status_json["daemons"].as_array().cloned().unwrap_or_default();
        daemons
            .iter()
            .any(|daemon| daemon["name"] == "booking-1" && daemon["version"] == 2)
    });
    let report = run_caller(caller_settings(vec![mesh.pairs[1].calls], "outage", 100, 200)).await;
    assert_eq!(answered_count(&report), 200, "{:?}", report.outcomes);
    mesh.put_to_store("/lab/faults?down=false").await;
    let accepted = mesh.apply("v1", 900);
    assert!(
        accepted.status.success(),
        "{}",
        String::from_utf8_lossy(&accepted.stderr)
    );
}

/// Waits until every daemon answers a request for a path without a route with `status`, and one of a route with 200.
async fn wait_for_status_without_a_route(mesh: &Mesh, status: StatusCode) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let deadline = Instant::now() + Duration::from_secs(30);
    for pair in &mesh.pairs {
        let get = |path: &str| client.get(format!("http://{}{path}", pair.calls)).send();
        loop {
            assert_eq!(get("/stock").await.unwrap().status(), StatusCode::OK);
            let seen = get("/nowhere").await.unwrap().status();
            if seen == status {
                break;
            }
            assert!(Instant::now() < deadline, "{}: {seen}, not {status}", pair.name);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Guards against daemons that confirm each other's table while none of them reaches the store.
#[tokio::test(flavor = "multi_thread")]
async fn mesh_without_a_store_serves_its_routes_and_does_not_refuse_others_for_good() {
    let mesh = Mesh::start("storeless", 6);
    assert!(mesh.apply("v1", 600).status.success());
    wait_for_status_without_a_route(&mesh, StatusCode::NOT_FOUND).await;
    mesh.put_to_store("/lab/faults?down=true").await;
    wait_for_status_without_a_route(&mesh, StatusCode::SERVICE_UNAVAILABLE).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    // From now on no daemon may take another one's word for it.
    wait_for_status_without_a_route(&mesh, StatusCode::SERVICE_UNAVAILABLE).await;
    mesh.put_to_store("/lab/faults?down=false").await;
    wait_for_status_without_a_route(&mesh, StatusCode::NOT_FOUND).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_made_at_most_once_if_store_answers_are_lost() {
    let mesh = Mesh::start("lost", 2);
    assert!(mesh.apply("v1", 600).status.success());
    mesh.put_to_store("/lab/faults?lose_answers=true").await;
    let file = mesh.write_tables("v1", 700);
    let applying = std::thread::scope(|scope| {
        let apply = scope.spawn(|| mesh.run_cli(&["apply", file.to_str().unwrap(), "--message", "lost"]));
        std::thread::sleep(Duration::from_secs(2));
        apply.join().unwrap()
    });
    mesh.put_to_store("/lab/faults?lose_answers=false").await;
    let history = String::from_utf8(mesh.run_cli(&["history"]).stdout).unwrap();
    let made = history.matches(" lost").count();
    match applying.status.code() {
        Some(0) => assert_eq!(made, 1, "{history}"),
        code => assert!(
            code == Some(7) && made <= 1,
            "exit code {code:?}, history:\n{history}"
        ),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_taken_back_and_the_timeline_shows_why() {
    let mut mesh = Mesh::start("move", 3);
    assert!(mesh.apply("v1", 600).status.success());
    mesh.add_pair("v2", "failing", None);
    mesh.wait_for_serving(4);
    let calls = tokio::spawn(run_caller(caller_settings(
        vec![mesh.pairs[0].calls],
        "move",
        100,
        3_000,
    )));
    let moved = mesh.apply("v2", 120);
    assert!(
        moved.status.success(),
        "{}",
        String::from_utf8_lossy(&moved.stderr)
    );
    wait_until("the move to be taken back", || {
        String::from_utf8(mesh.run_cli(&["moves"]).stdout)
            .unwrap()
            .contains("taken back")
    });
    let report = calls.await.unwrap();
    assert_answers_match_runs(&mesh, &report).await;
    let failed = report.outcomes.get("status-500").copied().unwrap_or(0);
    assert!(failed <= 150, "{failed} of 3,000 calls failed, over 5 %");
    let timeline = String::from_utf8(mesh.run_cli(&["timeline", "--pool", "booking"]).stdout).unwrap();
    assert!(
        timeline.contains("move-decided") && timeline.contains("calls failed"),
        "{timeline}"
    );
    // The same version is refused unless the operator asks for it again.
    assert_eq!(mesh.apply("v2", 600).status.code(), Some(5));
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_without_peers_join_by_the_seeds_in_the_store() {
    let mut mesh = Mesh::start("seeds", 1);
    mesh.has_peer_settings = false;
    mesh.add_pair("v1", "good", None);
    mesh.wait_for_serving(2);
}
