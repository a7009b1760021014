//! Requests through real daemons: which are forwarded, which are refused, and with which outcome and status.

#[path = "common/mesh.rs"]
mod mesh;

use {
    fuchsiashore::lab::free_ports,
    mesh::Mesh,
    reqwest::{Client, Method, Response, StatusCode, header::HeaderMap},
    std::{
        io::{Read, Write},
        net::TcpStream,
        time::Duration,
    },
};

fn outcome(answer: &Response) -> Option<&str> {
    answer
        .headers()
        .get("fuchsiashore-outcome")
        .map(|value| value.to_str().unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_arrive_complete_and_refusals_state_the_outcome() {
    let mesh = Mesh::start("requests", 2);
    let base = format!("http://{}", mesh.pairs[0].calls);
    let client = Client::builder().no_proxy().build().unwrap();

    let early = client.get(format!("{base}/stock")).send().await.unwrap();
    assert_eq!(
        (early.status(), outcome(&early)),
        (StatusCode::SERVICE_UNAVAILABLE, Some("not-run"))
    );

    assert!(mesh.apply("v1", 600).status.success());

    // Method, path, query and body arrive at the target; the stand-in returns them.
    let answer = client
        .post(format!("{base}/reserve/7?item=a%20b&n=2"))
        .body("12345")
        .send()
        .await
        .unwrap();
    assert_eq!(outcome(&answer), None);
    assert!(
        answer
            .text()
            .await
            .unwrap()
            .starts_with("v1 POST /reserve/7?item=a%20b&n=2 5 ")
    );

    // Large bodies in both directions.
    let sent = vec![b'y'; 8_000_000];
    let answer = client
        .post(format!("{base}/reserve?bytes=6000000"))
        .body(sent)
        .send()
        .await
        .unwrap();
    let text = answer.text().await.unwrap();
    assert!(text.contains(" 8000000 "), "{}", &text[..80]);
    assert!(text.len() > 6_000_000);

    // The answer to HEAD has the length of the answer to GET, but no body.
    let answer = client
        .request(Method::HEAD, format!("{base}/stock"))
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.text().await.unwrap(), "");

    // A caller may wait longer than any route.
    let patient = client
        .get(format!("{base}/stock"))
        .header("fuchsiashore-timeout-ms", "900000.0");
    assert_eq!(patient.send().await.unwrap().status(), StatusCode::OK);

    // Refusals.
    let refusals = [
        (client.get(format!("{base}/")), StatusCode::NOT_FOUND),
        (client.get(format!("{base}//stock//")), StatusCode::NOT_FOUND),
        (client.get(format!("{base}/stockpile")), StatusCode::NOT_FOUND),
        (client.get(format!("{base}/nowhere")), StatusCode::NOT_FOUND),
        (
            client.delete(format!("{base}/stock")),
            StatusCode::METHOD_NOT_ALLOWED,
        ),
        (
            client
                .get(format!("{base}/stock"))
                .header("fuchsiashore-timeout-ms", "soon"),
            StatusCode::BAD_REQUEST,
        ),
        // A caller whose time has run out is not malformed.
        (
            client
                .get(format!("{base}/stock"))
                .header("fuchsiashore-timeout-ms", "0"),
            StatusCode::SERVICE_UNAVAILABLE,
        ),
        (
            client
                .get(format!("{base}/stock"))
                .header("fuchsiashore-timeout-ms", "-20"),
            StatusCode::SERVICE_UNAVAILABLE,
        ),
        (
            client.post(format!("{base}/reserve")).body(vec![0; 20_000_001]),
            StatusCode::PAYLOAD_TOO_LARGE,
        ),
    ];
    for (request, status) in refusals {
        let answer = request.send().await.unwrap();
        assert_eq!((answer.status(), outcome(&answer)), (status, Some("not-run")));
        assert!(
            !answer.text().await.unwrap().is_empty(),
            "a refusal has no text body"
        );
    }

    // If the deadline passes while the target runs a call that must not run twice, the outcome is unknown.
    let slow = client
        .post(format!("{base}/reserve?work_ms=2000"))
        .header("fuchsiashore-timeout-ms", "200");
    let answer = slow.send().await.unwrap();
    assert_eq!(
        (answer.status(), outcome(&answer)),
        (StatusCode::GATEWAY_TIMEOUT, Some("unknown"))
    );
    let runs = mesh.runs().await;
    assert!(
        runs.values().all(|count| *count <= 1),
        "a call ran twice: {runs:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused_and_the_daemon_keeps_serving() {
    let mesh = Mesh::start("malformed", 1);
    assert!(mesh.apply("v1", 600).status.success());
    let long_head = format!(
        "GET /stock HTTP/1.1\r\nhost: x\r\nlong: {}\r\n\r\n",
        "x".repeat(100_000)
    );
    let garbage = [
        "\x00\x01\x02\r\n\r\n",
        "GET /stock HTTP/9.9\r\n\r\n",
        "GET stock HTTP/1.1\r\nhost: x\r\n\r\n",
        "POST /reserve HTTP/1.1\r\nhost: x\r\ncontent-length: -5\r\n\r\n",
        "POST /reserve HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nabcdef",
        &long_head,
    ];
    for text in garbage {
        for address in [mesh.pairs[0].calls, mesh.pairs[0].operators] {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            // The daemon may close the connection before it has read the whole request.
            let _ = stream.write_all(text.as_bytes());
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer);
            let answer = String::from_utf8_lossy(&answer);
            assert!(
                !answer.starts_with("HTTP/1.1 2"),
                "{text:?} was answered with {answer}"
            );
        }
    }
    let answer = reqwest::get(format!("http://{}/stock", mesh.pairs[0].calls))
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_end_to_end_headers_are_forwarded() {
    let mut mesh = Mesh::start("headers", 1);
    // A target that returns the head of each request, with a repeated header in its answers.
    let address = free_ports(1)[0];
    let listener = std::net::TcpListener::bind(address).unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            std::thread::spawn(move || {
                let mut head = Vec::new();
                let mut byte = [0];
                while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|length| length == 1) {
                    head.push(byte[0]);
                }
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nset-cookie: a=1\r\nset-cookie: b=2\r\nfuchsiashore-outcome: not-run\r\n\
                     connection: close\r\ncontent-length: {}\r\n\r\n",
                    head.len()
                );
                let _ = stream.write_all(answer.as_bytes());
                let _ = stream.write_all(&head);
            });
        }
    });
    mesh.add_pair("v2", "good", Some(address));
    mesh.wait_for_serving(2);
    assert!(mesh.apply("v2", 600).status.success());
    let client = Client::builder().no_proxy().build().unwrap();
    let mut headers = HeaderMap::new();
    headers.insert("x-own", "kept".parse().unwrap());
    headers.insert("connection", "x-hop".parse().unwrap());
    headers.insert("x-hop", "dropped".parse().unwrap());
    headers.insert("te", "trailers".parse().unwrap());
    headers.insert("fuchsiashore-pool", "forged".parse().unwrap());
    let url = format!("http://{}/stock", mesh.pairs[0].calls);
    let answer = client.get(url).headers(headers).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.headers().get_all("set-cookie").iter().count(), 2);
    assert_eq!(
        outcome(&answer),
        None,
        "the outcome header of a target was forwarded"
    );
    let arrived = answer.text().await.unwrap().to_ascii_lowercase();
    assert!(arrived.contains("x-own: kept"), "{arrived}");
    assert!(arrived.contains("fuchsiashore-timeout-ms: "), "{arrived}");
    for dropped in ["x-hop", "te: ", "forged"] {
        assert!(!arrived.contains(dropped), "{dropped} was forwarded: {arrived}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeatable_call_may_take_more_than_half_of_its_timeout() {
    let mesh = Mesh::start("long", 2);
    assert!(mesh.apply("v1", 600).status.success());
    // The route's timeout is 4 s.
    let url = format!("http://{}/stock?work_ms=2500", mesh.pairs[0].calls);
    let answer = reqwest::get(url).await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK, "{:?}", outcome(&answer));
}
