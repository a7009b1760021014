//! A small deployment: daemons as the deploy file starts them, endpoints, the operator and the record of a run.

use {
    crate::{
        http::{Message, exchange, serve, write_answer},
        msgpack::{Value, map, text},
        store::{Store, StoreDoor},
    },
    std::{
        collections::HashMap,
        env,
        ffi::{c_int, c_ulong},
        fs,
        io::{self, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        os::unix::process::CommandExt,
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

unsafe extern "C" {
    fn prctl(option: c_int, ...) -> c_int;
}

const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: c_ulong = 9;

/// Record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(fs::File::create(path).unwrap())),
        }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let line = format!("{:>7} ms  {line}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line that is printed too.
    pub fn print(&self, line: &str) {
        println!("{line}");
        self.write(line);
    }
}

/// Sleeps until a time since the start of the record.
pub fn sleep_until(record: &Record, at_ms: u64) {
    thread::sleep(Duration::from_millis(at_ms.saturating_sub(record.now_ms())));
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Reads a condition again and again; returns whether it held within the time.
pub fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A daemon, started with the command of the deploy file.
pub struct Daemon {
    pub name: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub app: SocketAddr,
    pub door: StoreDoor,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Returns a free address below the ports that outgoing connections get.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        // Drivers that run at the same time begin at different ports.
        let number = NEXT.fetch_add(1, Ordering::Relaxed) + u64::from(std::process::id() % 100) * 160;
        let port = 16_000 + (number % 16_000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Daemon {
    /// Renders the settings from the template of the deploy file and starts the process. The values of `bounds` are those
    /// of the small site. The daemons reach the store at doors of their own, so the name of the mesh is given here.
    pub fn start(folder: &str, node: &str, service: &str, door: StoreDoor) -> Self {
        let [outbound, inbound, control, ready, internal, operators, app] =
            std::array::from_fn(|_| free_address());
        let mut template =
            fs::read_to_string("deploy/daemon.ini").expect("run from the root of the repository");
        let values = [
            ("mesh = {{platform.address}}", "mesh = review".to_owned()),
            ("{{node}}", node.to_owned()),
            ("{{ip}}:{{internalPorts.0}}", internal.to_string()),
            ("127.0.0.1:{{internalPorts.1}}", operators.to_string()),
            ("{{ip}}", "127.0.0.1".to_owned()),
            ("{{region}}", "nordeste".to_owned()),
            ("{{zone}}", "caruaru".to_owned()),
            ("{{listen.outbound}}", outbound.to_string()),
            ("{{listen.inbound}}", inbound.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{listen.control}}", control.to_string()),
            ("{{platform.address}}", door.address.to_string()),
            ("{{bounds.extra_retries}}", "60".to_owned()),
            ("{{bounds.grace_s}}", "6".to_owned()),
            ("{{service}}", service.to_owned()),
            ("{{appAddr}}", app.to_string()),
        ];
        for (placeholder, value) in values {
            template = template.replace(placeholder, &value);
        }
        assert!(!template.contains("{{"), "unknown placeholder: {template}");
        let settings = PathBuf::from(folder).join(format!("{node}.ini"));
        fs::write(&settings, template).unwrap();
        let daemon = Self {
            name: node.to_owned(),
            outbound,
            control,
            ready,
            app,
            door,
            settings,
            child: Mutex::new(None),
        };
        daemon.spawn();
        daemon
    }

    /// Starts the process, also after its end.
    pub fn spawn(&self) {
        let log = self.settings.with_extension("log");
        let log = fs::File::options().create(true).append(true).open(log).unwrap();
        let mut command = Command::new("target/release/fuchsiashore-platform");
        command
            .env("FUCHSIASHORE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // SAFETY: the call is one system call without allocation. It ends the daemon with the driver, whatever ends that.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .expect("build the program of the deploy file first");
        *self.child.lock().unwrap() = Some(child);
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.lock().unwrap().as_ref().map(Child::id);
        if let Some(id) = id {
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(id.to_string())
                .status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_none_or(|child| child.try_wait().unwrap().is_some())
    }

    /// Asks as the platform does whether the daemon is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /fuchsiashore/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        exchange(self.ready, request, Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How an endpoint answers a request that it runs.
pub type Work = Arc<dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync>;

/// A request that reached an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub at_ms: u64,
    pub ended_ms: Option<u64>,
}

/// An endpoint that checks `Target-Instance`, records what reaches it, and announces itself.
#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    service: String,
    version: String,
    slots: i64,
    address: SocketAddr,
    control: SocketAddr,
    born: Arc<AtomicU64>,
    sequence: Arc<AtomicI64>,
    pub beats: Arc<AtomicBool>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    is_gone: Arc<AtomicBool>,
    record: Record,
}

impl Endpoint {
    /// Starts an endpoint of 12 slots.
    pub fn start(
        daemon: &Daemon,
        id: &str,
        service: &str,
        version: &str,
        work: Work,
        record: &Record,
    ) -> Self {
        Self::start_with_slots(daemon, id, (service, version), 12, work, record)
    }

    /// Starts the endpoint beside a daemon, with a heartbeat each 1.5 s while [`Self::beats`] is set.
    pub fn start_with_slots(
        daemon: &Daemon,
        id: &str,
        (service, version): (&str, &str),
        slots: i64,
        work: Work,
        record: &Record,
    ) -> Self {
        let endpoint = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            slots,
            address: daemon.app,
            control: daemon.control,
            born: Arc::new(AtomicU64::new(unix_ms())),
            sequence: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            arrivals: Arc::default(),
            is_gone: Arc::default(),
            record: record.clone(),
        };
        let listener = TcpListener::bind(daemon.app).unwrap();
        let this = endpoint.clone();
        serve(listener, move |request, stream| {
            this.answer(&request, stream, &work)
        });
        let this = endpoint.clone();
        thread::spawn(move || {
            loop {
                if this.beats.load(Ordering::Relaxed) {
                    let sequence = this.next_sequence();
                    this.beat("ready", sequence);
                }
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        endpoint
    }

    /// Returns the number of the next heartbeat.
    pub fn next_sequence(&self) -> i64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Sends a heartbeat and returns the status of the response, 0 if there is none.
    pub fn beat(&self, state: &str, sequence: i64) -> u16 {
        let body = map([
            ("service", text(&self.service)),
            ("address", text(&self.address.to_string())),
            ("zone", text("caruaru")),
            ("version", text(&self.version)),
            ("slots", Value::Int(self.slots)),
            ("state", text(state)),
            ("cold_ms", Value::Int(0)),
            ("sequence", Value::Int(sequence)),
            ("born", Value::Int(self.born.load(Ordering::Relaxed) as i64)),
        ]);
        self.announce("PUT", &body.encode(), &format!("{state} {sequence}"))
    }

    /// Says that the endpoint leaves.
    pub fn leave(&self) -> u16 {
        let body = map([("born", Value::Int(self.born.load(Ordering::Relaxed) as i64))]).encode();
        self.announce("DELETE", &body, "leaves")
    }

    fn announce(&self, method: &str, body: &[u8], what: &str) -> u16 {
        let mut request = format!(
            "{method} /fuchsiashore/instances/{} HTTP/1.1\r\nHost: control\r\nContent-Type: application/msgpack\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n",
            self.id,
            body.len()
        )
        .into_bytes();
        request.extend(body);
        let answer = exchange(self.control, &request, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        self.record
            .write(&format!("endpoint {} says {what}: {status}", self.id));
        status
    }

    /// Ends the endpoint: it breaks off what it runs and accepts nothing more.
    pub fn end(&self) {
        self.beats.store(false, Ordering::Relaxed);
        self.is_gone.store(true, Ordering::Relaxed);
        self.record.write(&format!("endpoint {} ends", self.id));
    }

    /// Starts the endpoint again after [`Self::end`], under its id and at a time by its clock; it knows nothing of before.
    pub fn start_again(&self, born: u64) {
        self.born.store(born, Ordering::Relaxed);
        self.sequence.store(0, Ordering::Relaxed);
        self.is_gone.store(false, Ordering::Relaxed);
        self.beats.store(true, Ordering::Relaxed);
        self.record
            .write(&format!("endpoint {} starts again, born {born}", self.id));
    }

    pub fn has_ended(&self) -> bool {
        self.is_gone.load(Ordering::Relaxed)
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream, work: &Work) -> io::Result<()> {
        if self.has_ended() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let (id, target) = (
            request.header("attempt-id").to_owned(),
            request.header("target-instance"),
        );
        if !target.is_empty() && target != self.id {
            self.record
                .write(&format!("endpoint {} is not {target}: 421 to {id}", self.id));
            let headers = [("Instance-Id", self.id.as_str()), ("Attempt-Id", &id)];
            return write_answer(stream, "421 Misdirected Request", &headers, b"");
        }
        let at_ms = self.record.now_ms();
        let number = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival {
                id: id.clone(),
                at_ms,
                ended_ms: None,
            });
            arrivals.len() - 1
        };
        self.record.write(&format!(
            "endpoint {} runs {id} ({} {}, {} ms left)",
            self.id,
            request.method(),
            request.target(),
            request.header("deadline-ms")
        ));
        let result = work(request, stream);
        self.arrivals.lock().unwrap()[number].ended_ms = Some(self.record.now_ms());
        let end = if result.is_ok() { "answered" } else { "broke off" };
        self.record.write(&format!("endpoint {} {end} {id}", self.id));
        result
    }
}

/// Returns work of a time with an answer of a size, broken off if the endpoint ends meanwhile.
pub fn plain_work(work: Duration, size: usize, is_gone: Arc<AtomicBool>) -> Work {
    Arc::new(move |request, stream| {
        let until = Instant::now() + work;
        while Instant::now() < until {
            if is_gone.load(Ordering::Relaxed) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            thread::sleep(Duration::from_millis(5));
        }
        write_answer(stream, "200 OK", &stamped(request, "stamp"), &vec![b'x'; size])
    })
}

/// Returns the headers of an answer to a request that ran.
pub fn stamped<'a>(request: &'a Message, stamp: &'a str) -> [(&'static str, &'a str); 2] {
    [
        ("Attempt-Id", request.header("attempt-id")),
        ("Response-Stamp", stamp),
    ]
}

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: i64,
    pub target_latency_ms: i64,
    pub attempts: i64,
}

/// Writes the configuration as the operator does.
pub fn put_config(store: &Store, version: i64, routes: &[Route<'_>], services: &[&str]) {
    let rows = routes.iter().map(|route| {
        map([
            ("name", text(route.name)),
            ("hostname", text("shop.example")),
            ("prefix", text(route.prefix)),
            ("repeat", text(route.kind)),
            ("timeout_ms", Value::Int(route.timeout_ms)),
            ("target_latency_ms", Value::Int(route.target_latency_ms)),
            ("priority", Value::Int(1)),
            ("service", text(route.service)),
            ("attempts", Value::Int(route.attempts)),
        ])
    });
    let rows = Value::List(rows.collect());
    let services = services.iter().map(|name| {
        map([
            ("name", text(name)),
            ("healthPath", text("/health")),
            ("maxConnections", Value::Int(120)),
            ("protocol", text("h1")),
            ("tls", Value::Bool(false)),
        ])
    });
    let limits = map([
        ("head_bytes", Value::Int(16_384)),
        ("body_bytes", Value::Int(67_108_864)),
        ("head_timeout_ms", Value::Int(3_000)),
        ("idle_timeout_ms", Value::Int(15_000)),
    ]);
    let document = map([
        ("version", Value::Int(version)),
        ("routes", rows),
        ("services", Value::List(services.collect())),
        ("limits", limits),
    ]);
    store.put("op/config", &document.encode());
}

/// What a client got for a request.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub path: String,
    pub sent_ms: u64,
    /// Status, 0 without a whole answer.
    pub status: u16,
}

/// Sends requests one after the other, as a client on the machine of a daemon.
#[derive(Clone)]
pub struct Client {
    pub outcomes: Arc<Mutex<HashMap<String, Outcome>>>,
    next: Arc<AtomicU64>,
    record: Record,
}

impl Client {
    pub fn new(record: &Record) -> Self {
        Self {
            outcomes: Arc::default(),
            next: Arc::default(),
            record: record.clone(),
        }
    }

    /// Sends one request on a new connection.
    pub fn send(&self, outbound: SocketAddr, method: &str, path: &str, deadline_ms: u64) -> Outcome {
        let id = format!("{:016x}", self.next.fetch_add(1, Ordering::Relaxed) + 0x1000_0000);
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
             Content-Length: 0\r\nConnection: close\r\n\r\n"
        );
        let sent_ms = self.record.now_ms();
        let answer = exchange(outbound, request.as_bytes(), Duration::from_millis(deadline_ms));
        let status = answer.as_ref().map_or(0, Message::status);
        let outcome = Outcome {
            path: path.to_owned(),
            sent_ms,
            status,
        };
        self.record.write(&format!(
            "client got {status} for {id} ({method} {path}, sent at {sent_ms} ms)"
        ));
        self.outcomes.lock().unwrap().insert(id, outcome.clone());
        outcome
    }

    /// Sends requests at a steady rate in threads of their own until `until_ms`.
    pub fn run(
        &self,
        outbound: SocketAddr,
        (method, path): (&'static str, &'static str),
        (every_ms, until_ms): (u64, u64),
    ) -> thread::JoinHandle<()> {
        let this = self.clone();
        thread::spawn(move || {
            let mut sent = Vec::new();
            while this.record.now_ms() < until_ms {
                let client = this.clone();
                sent.push(thread::spawn(move || {
                    drop(client.send(outbound, method, path, 2_000))
                }));
                thread::sleep(Duration::from_millis(every_ms));
            }
            for thread in sent {
                let _ = thread.join();
            }
        })
    }
}

/// Returns whether the disruption is to be made.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}
