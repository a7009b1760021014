//! Requests that end their targets, on a mesh of real processes on loopback.

#[path = "common/mesh.rs"]
mod mesh;

use {
    mesh::{Mesh, wait_until},
    reqwest::{Client, Method, StatusCode},
    std::time::Duration,
    tokio::time::sleep,
};

/// Number of targets that may end under one request.
const MAX_ENDS: usize = 3;
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(60);

/// Answer to a request: its status and the reason of a refusal.
type Answer = (u16, String);

async fn send(mesh: &Mesh, number: usize, method: &Method, path: &str) -> Answer {
    let pair = &mesh.pairs[number % mesh.pairs.len()];
    let request = Client::new().request(method.clone(), format!("http://{}{path}", pair.calls));
    let answer = request.timeout(Duration::from_secs(5)).send().await.unwrap();
    let reason = answer.headers().get("fuchsiashore-reason");
    let reason = reason.and_then(|reason| reason.to_str().ok()).unwrap_or("");
    (answer.status().as_u16(), reason.to_owned())
}

fn count_ended(mesh: &mut Mesh) -> usize {
    let targets = mesh.pairs.iter_mut().filter_map(|pair| pair.target.as_mut());
    targets.filter_map(|target| target.try_wait().unwrap()).count()
}

/// Sends a deadly request through all daemons in turn, with sound ones in between, and returns the answers to both.
async fn send_deadly(mesh: &Mesh, method: &Method, path: &str) -> (Vec<Answer>, Vec<Answer>) {
    let (mut deadly, mut sound) = (Vec::new(), Vec::new());
    for number in 0..24 {
        let other = format!("/stock?number={number}");
        let (of_deadly, of_sound) = tokio::join!(
            send(mesh, number, method, path),
            send(mesh, number + 1, &Method::GET, &other)
        );
        deadly.push(of_deadly);
        sound.push(of_sound);
        sleep(PAUSE).await;
    }
    (deadly, sound)
}

async fn assert_held_back(name: &str, method: Method, path: &str) {
    let mut mesh = Mesh::start_with(name, 6, "fragile");
    assert!(mesh.apply("v1", 600).status.success());
    wait_until("all daemons to list one another", || {
        let text = String::from_utf8(mesh.run_cli(&["status"]).stdout).unwrap();
        text.matches(" members 5 ").count() == 6
    });
    let (deadly, sound) = send_deadly(&mesh, &method, path).await;
    let ended = count_ended(&mut mesh);
    assert!(
        (1..=MAX_ENDS).contains(&ended),
        "{ended} of 6 targets ended: {deadly:?}"
    );
    let held = (StatusCode::SERVICE_UNAVAILABLE.as_u16(), "quarantined".to_owned());
    assert!(deadly[8..].iter().all(|answer| *answer == held), "{deadly:?}");
    let status = String::from_utf8(mesh.run_cli(&["status"]).stdout).unwrap();
    assert!(status.contains("held back by 6 daemons"), "{status}");
    assert!(sound[8..].iter().all(|(status, _)| *status == 200), "{sound:?}");
}

/// Guards against a request that ends one target after the other, as each daemon repeats it at the next one.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_ends_targets_is_held_back_by_every_daemon() {
    assert_held_back("deadly-get", Method::GET, "/stock?deadly=1").await;
}

/// Guards against the same by callers that send a request which daemons don't repeat.
#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_request_that_ends_targets_is_held_back_by_every_daemon() {
    assert_held_back("deadly-post", Method::POST, "/reserve?deadly=1").await;
}
