//! LOST: a daemon gets SIGTERM while requests that it took wait for a slot.

use {
    crate::{
        Ending,
        http::{read_body, read_head, write_answer},
        mesh::{
            Client, Daemon, Endpoint, Record, Route, Work, has_trouble, put_config, sleep_until, stamped,
            wait_for,
        },
        store::Store,
    },
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// The rule's `grace`, `lossSlack` and `contact`, in milliseconds.
const GRACE_MS: u64 = 6_000;
const LOSS_SLACK_MS: u128 = 200;
const CONTACT_MS: u64 = 3_000;
/// Timeout of the route and time that the client waits, in milliseconds.
const TIMEOUT_MS: i64 = 5_000;
/// Time that the endpoint works on a booking.
const WORK: Duration = Duration::from_millis(4_800);

pub fn run(folder: &str, record: &Record) -> Ending {
    let store = Store::default();
    let services = ["balcao", "expedicao", "expedicao"];
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
        target_latency_ms: timeout_ms - 200,
        attempts: 2,
    };
    let routes = [
        route("list", "/list/", "idempotent", 1_200),
        route("book", "/book/", "non_idempotent", TIMEOUT_MS),
    ];
    put_config(&store, 7, &routes, &["balcao", "expedicao"]);
    let work: Work = Arc::new(|request, stream| {
        let is_booking = request.target().starts_with("/book/");
        thread::sleep(if is_booking {
            WORK
        } else {
            Duration::from_millis(20)
        });
        write_answer(stream, "200 OK", &stamped(request, "stamp"), b"whole answer")
    });
    let endpoints: Vec<Endpoint> = daemons
        .iter()
        .zip(services)
        .enumerate()
        .map(|(number, (daemon, service))| {
            let id = format!("i-{number}");
            Endpoint::start_with_slots(daemon, &id, (service, "v1"), 2, Arc::clone(&work), record)
        })
        .collect();
    let client = Client::new(record);
    let is_served = wait_for(Duration::from_secs(15), || {
        daemons.iter().all(|daemon| {
            daemon.is_ready() && client.send(daemon.outbound, "GET", "/list/one", 1_000).status == 200
        })
    });
    if !is_served {
        return Ending::NotRun;
    }
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    let begin_ms = record.now_ms();
    let leaving = &daemons[1];
    if has_trouble() {
        leaving.signal("TERM");
        record.print("SIGTERM to sidecar-2");
    }
    // The platform takes the machine out after two misses of its check, which is sent each second.
    sleep_until(record, begin_ms + 1_300);
    let other = daemons[2].outbound;
    let occupying: Vec<_> = (0..2)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || book(other, &format!("00000000000000b{number}"), &record))
        })
        .collect();
    sleep_until(record, begin_ms + 1_500);
    let outbound = leaving.outbound;
    let waiting: Vec<_> = (0..2)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || book(outbound, &format!("00000000000000a{number}"), &record))
        })
        .collect();
    let started = Instant::now();
    let mut has_ended = false;
    while !waiting.iter().all(|thread| thread.is_finished()) {
        if has_trouble() && !has_ended && leaving.has_ended() {
            has_ended = true;
            record.print(&format!(
                "sidecar-2 ends {} ms after SIGTERM",
                record.now_ms() - begin_ms
            ));
        }
        if has_trouble() && record.now_ms() > begin_ms + GRACE_MS {
            leaving.signal("KILL");
        }
        thread::sleep(Duration::from_millis(5));
        if started.elapsed() > Duration::from_secs(20) {
            return Ending::NotRun;
        }
    }
    let waiting: Vec<Booking> = waiting.into_iter().map(|thread| thread.join().unwrap()).collect();
    let occupying: Vec<Booking> = occupying
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let arrivals = endpoints[0].arrivals.lock().unwrap();
    let mut lost = 0;
    for booking in &waiting {
        let was_passed_on = arrivals.iter().any(|arrival| arrival.id == booking.id);
        let is_lost = booking.status == 0
            && booking.waited.as_millis() > LOSS_SLACK_MS
            && booking.waited.as_millis() < TIMEOUT_MS as u128;
        record.print(&format!(
            "request {} taken by sidecar-2: status {} after {} ms, reached the endpoint: {was_passed_on}, lost: {is_lost}",
            booking.id,
            booking.status,
            booking.waited.as_millis()
        ));
        // One at which the endpoint was still at work in the last sixth of grace would not count.
        lost += usize::from(is_lost && !was_passed_on);
    }
    if occupying.iter().any(|booking| booking.status != 200) {
        return Ending::NotRun;
    }
    if lost > 0 { Ending::Broken } else { Ending::Held }
}

struct Booking {
    id: String,
    /// Status, 0 if the connection ended without a whole answer.
    status: u16,
    waited: Duration,
}

/// Sends a booking on a new connection and waits for its answer for as long as it may take.
fn book(outbound: SocketAddr, id: &str, record: &Record) -> Booking {
    let mut stream = TcpStream::connect(outbound).unwrap();
    let request = format!(
        "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n\
         Content-Length: 5\r\n\r\ntrays"
    );
    stream.write_all(request.as_bytes()).unwrap();
    record.write(&format!("client sends {id}"));
    let started = Instant::now();
    let _ = stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS as u64 + 1_000)));
    let mut buffer = Vec::new();
    let answer = read_head(&mut stream, &mut buffer).and_then(|head| {
        let mut answer = head.ok_or(std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        read_body(&mut stream, &mut buffer, &mut answer)?;
        Ok(answer)
    });
    let waited = started.elapsed();
    record.write(&format!(
        "client of {id} gets {:?} after {} ms",
        answer.as_ref().map(|answer| answer.line.clone()),
        waited.as_millis()
    ));
    Booking {
        id: id.to_owned(),
        status: answer.map_or(0, |answer| answer.status()),
        waited,
    }
}
