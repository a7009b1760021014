//! The operators' program and listener, run against real daemons: exit codes, JSON output, history, undo and metrics.

#[path = "common/mesh.rs"]
mod mesh;

use {
    fuchsiashore::lab::free_ports,
    mesh::Mesh,
    serde_json::Value,
    std::{fs, process::Command},
};

fn json_of(mesh: &Mesh, args: &[&str]) -> Value {
    let output = mesh.run_cli(args);
    assert!(
        output.status.success(),
        "{args:?}: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    serde_json::from_slice(&output.stdout).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_show_in_history_status_and_metrics_and_can_be_undone() {
    let mesh = Mesh::start("operators", 2);
    assert!(mesh.apply("v1", 600).status.success());
    assert!(mesh.apply("v1", 900).status.success());

    let history = json_of(&mesh, &["history", "--json"]);
    assert_eq!(history.as_array().unwrap().len(), 2);
    assert_eq!(
        (&history[1]["version"], &history[1]["author"]),
        (&2.into(), &"test".into())
    );

    let undone = mesh.run_cli(&["undo", "--message", "too late", "--wait"]);
    assert!(
        undone.status.success(),
        "{}",
        String::from_utf8_lossy(&undone.stderr)
    );
    let first = json_of(&mesh, &["show", "--version", "1", "--json"]);
    let now = json_of(&mesh, &["show", "--json"]);
    assert_eq!((&now["version"], &now["tables"]), (&3.into(), &first["tables"]));

    let status = json_of(&mesh, &["status", "--json"]);
    let daemons = status["daemons"].as_array().unwrap();
    assert_eq!(daemons.len(), 2);
    assert!(
        daemons
            .iter()
            .all(|daemon| daemon["version"] == 3 && daemon["is_store_up"] == true),
        "{daemons:?}"
    );

    let events = json_of(&mesh, &["timeline", "--json", "--name", "booking-1"]);
    let events = events.as_array().unwrap();
    assert!(events.iter().all(|event| event["daemon"] == "booking-1"));
    assert_eq!(
        events.iter().filter(|event| event["kind"] == "Applied").count(),
        3
    );

    let stock = format!("http://{}/stock", mesh.pairs[0].calls);
    assert!(reqwest::get(stock).await.unwrap().status().is_success());
    let metrics = format!("http://{}/metrics", mesh.pairs[0].operators);
    let metrics = reqwest::get(metrics).await.unwrap().text().await.unwrap();
    for line in [
        r#"fuchsiashore_calls_total{route="stock",pool="booking",version="v1",outcome="answered"} 1"#,
        "fuchsiashore_config_version 3",
        "fuchsiashore_members 2",
        "fuchsiashore_convergence_seconds_count 3",
    ] {
        assert!(metrics.contains(line), "{line} is missing:\n{metrics}");
    }
    assert!(
        metrics.contains("fuchsiashore_control_bytes_total{direction=\"sent\""),
        "{metrics}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_error_has_its_exit_code() {
    let mesh = Mesh::start("codes", 1);
    let code = |args: &[&str]| mesh.run_cli(args).status.code();
    assert_eq!(code(&["frobnicate"]), Some(2));
    assert_eq!(code(&["apply", "--message", "no files"]), Some(2));
    assert_eq!(code(&["check", "/nowhere/tables.ini"]), Some(3));
    let good = mesh.write_tables("v1", 600);
    assert_eq!(code(&["check", good.to_str().unwrap()]), Some(0));
    assert_eq!(
        code(&["apply", good.to_str().unwrap()]),
        Some(2),
        "a change without a message was accepted"
    );
    assert_eq!(
        code(&["apply", good.to_str().unwrap(), "--message", "first"]),
        Some(0)
    );
    assert_eq!(
        code(&["apply", good.to_str().unwrap(), "--message", "same again"]),
        Some(5)
    );
    let past = mesh.write_tables("v2", 0);
    assert_eq!(
        code(&["apply", past.to_str().unwrap(), "--message", "no time"]),
        Some(5)
    );
    fs::write(&good, "[route a]\npath = /a\npool = none\n").unwrap();
    assert_eq!(code(&["check", good.to_str().unwrap()]), Some(3));
    let unused_address = free_ports(1)[0].to_string();
    let program = env!("CARGO_BIN_EXE_fuchsiashore");
    let no_daemon = Command::new(program)
        .args(["status", "--daemon", &unused_address])
        .output()
        .unwrap();
    assert_eq!(no_daemon.status.code(), Some(9));
    let no_store = Command::new(program)
        .args(["show", "--store", &unused_address])
        .output()
        .unwrap();
    assert_eq!(no_store.status.code(), Some(6));
    for command in [
        "check", "diff", "apply", "show", "history", "undo", "moves", "status", "timeline", "drain",
    ] {
        let help = Command::new(program).args([command, "--help"]).output().unwrap();
        assert!(
            String::from_utf8(help.stdout)
                .unwrap()
                .contains("Example: fuchsiashore"),
            "{command}"
        );
    }
}

/// All targets are in the evacuated data centre, so calls are refused as not run until it is taken back.
#[tokio::test(flavor = "multi_thread")]
async fn data_centre_is_evacuated_and_taken_back_by_commands() {
    let mesh = Mesh::start("evacuate", 2);
    assert!(mesh.apply("v1", 600).status.success());
    let status = json_of(&mesh, &["status", "--json"]);
    let data_centre = status["daemons"][0]["own"]["data_centre"]
        .as_str()
        .unwrap()
        .to_owned();
    let stock = format!("http://{}/stock", mesh.pairs[0].calls);
    let evacuate = |further: &[&str]| {
        let args = ["evacuate", &data_centre, "--message", "power works", "--wait"];
        mesh.run_cli(&[&args[..], further].concat()).status.code()
    };

    assert_eq!(evacuate(&["--back"]), Some(2), "it is not evacuated");
    assert_eq!(evacuate(&[]), Some(0));
    assert_eq!(evacuate(&[]), Some(2), "it is evacuated already");
    let status = mesh.run_cli(&["status"]).stdout;
    let line = format!("data centre {data_centre} evacuated, in force at 2 of 2 daemons");
    assert!(String::from_utf8_lossy(&status).contains(&line));
    let refused = reqwest::get(&stock).await.unwrap();
    let outcome = refused.headers().get("fuchsiashore-outcome");
    assert_eq!(
        (refused.status().as_u16(), outcome.unwrap().to_str().unwrap()),
        (503, "not-run")
    );

    assert_eq!(evacuate(&["--back"]), Some(0));
    assert!(reqwest::get(&stock).await.unwrap().status().is_success());
}
