//! A small mesh of real processes on loopback: a key-value service, daemons and targets. All are killed on drop.

#![allow(dead_code, reason = "each test file uses only a part")]

use {
    fuchsiashore::lab::free_ports,
    std::{
        collections::HashMap,
        fs,
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Output, Stdio},
        time::{Duration, Instant},
    },
};

/// Timeout of [`wait_until`]; long, as CI machines are slow.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// A target and its daemon.
#[derive(Debug)]
pub struct Pair {
    pub name: String,
    /// Listener for callers.
    pub calls: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    pub target_address: SocketAddr,
    settings: PathBuf,
    pub daemon: Child,
    pub target: Option<Child>,
}

/// A key-value service, pairs and a folder for their files.
#[derive(Debug)]
pub struct Mesh {
    pub store: SocketAddr,
    pub pairs: Vec<Pair>,
    /// Whether the settings of daemons started from now on list peers.
    pub has_peer_settings: bool,
    folder: PathBuf,
    kv: Child,
}

impl Mesh {
    /// Starts a key-value service and `count` pairs of service `booking` at version `v1`, and waits until they serve.
    pub fn start(test: &str, count: usize) -> Self {
        Self::start_with(test, count, "good")
    }

    /// Like [`Self::start`], with a behaviour of the targets.
    pub fn start_with(test: &str, count: usize, behaviour: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("fuchsiashore-{test}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let store = free_ports(1)[0];
        let kv = spawn(Command::new(env!("CARGO_BIN_EXE_fuchsiashore-lab")).args([
            "kv",
            "--listen",
            &store.to_string(),
        ]));
        let mut mesh = Self {
            store,
            pairs: Vec::new(),
            has_peer_settings: true,
            folder,
            kv,
        };
        for _ in 0..count {
            mesh.add_pair("v1", behaviour, None);
        }
        mesh.wait_for_serving(count);
        mesh
    }

    /// Starts a pair and returns its index. With `relay`, the daemon connects to the target at that address.
    pub fn add_pair(&mut self, version: &str, behaviour: &str, relay: Option<SocketAddr>) -> usize {
        let address = free_ports(1)[0];
        let target = spawn(Command::new(env!("CARGO_BIN_EXE_fuchsiashore-lab")).args([
            "target",
            "--listen",
            &address.to_string(),
            "--version",
            version,
            "--behaviour",
            behaviour,
        ]));
        let number = self.add_daemon(version, relay.unwrap_or(address));
        let pair = &mut self.pairs[number];
        pair.target_address = address;
        pair.target = Some(target);
        number
    }

    /// Starts a daemon for a target that already runs, and returns its index. The first four daemons share a data
    /// centre, so that calls through one of them go to the targets of all four.
    pub fn add_daemon(&mut self, version: &str, target_address: SocketAddr) -> usize {
        let ports = free_ports(4);
        let [calls, gate, control, operators] = ports[..] else {
            unreachable!()
        };
        let number = self.pairs.len();
        let name = format!("booking-{number}");
        let peers: Vec<String> = self.pairs.iter().take(2).map(Pair::control_address).collect();
        let peers = if peers.is_empty() || !self.has_peer_settings {
            String::new()
        } else {
            format!("peers = {}\n", peers.join(" "))
        };
        let text = format!(
            "[daemon]\nname = {name}\nmesh = test\nregion = r\ndata_centre = dc{}\ncalls = {calls}\ngate = {gate}\n\
             control = {control}\noperators = {operators}\nstore = {}\nmax_body_bytes = 20000000\n{peers}\n[target]\n\
             service = booking\nversion = {version}\naddress = {target_address}\nslots = 12\nconnections = 110\n",
            number / 4 % 2,
            self.store,
        );
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, text).unwrap();
        let daemon = spawn_daemon(&settings);
        self.pairs.push(Pair {
            name,
            calls,
            operators,
            target_address,
            settings,
            daemon,
            target: None,
        });
        number
    }

    /// Kills a daemon with SIGKILL and waits for its exit.
    pub fn kill_daemon(&mut self, number: usize) {
        let daemon = &mut self.pairs[number].daemon;
        daemon.kill().unwrap();
        daemon.wait().unwrap();
    }

    /// Starts a daemon again after it has exited.
    pub fn restart_daemon(&mut self, number: usize) {
        self.pairs[number].daemon = spawn_daemon(&self.pairs[number].settings);
    }

    /// Sends a signal, such as `-STOP`, to a daemon.
    pub fn signal_daemon(&self, number: usize, signal: &str) {
        let id = self.pairs[number].daemon.id().to_string();
        assert!(
            Command::new("kill")
                .args([signal, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Runs the command-line program `fuchsiashore` against the store and the first daemon.
    pub fn run_cli(&self, args: &[&str]) -> Output {
        let (store, daemon) = (self.store.to_string(), self.pairs[0].operators.to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_fuchsiashore"));
        command
            .args(args)
            .args(["--store", &store, "--daemon", &daemon, "--author", "test"]);
        command.output().unwrap()
    }

    /// Applies tables with routes `/stock` (GET) and `/reserve` (POST) and waits up to 20 s until all daemons use them.
    pub fn apply(&self, version: &str, finish_in_s: u64) -> Output {
        let file = self.write_tables(version, finish_in_s);
        self.run_cli(&[
            "apply",
            file.to_str().unwrap(),
            "--message",
            "test",
            "--wait",
            "--wait-ms",
            "20000",
        ])
    }

    /// Writes the tables of [`Self::apply`] to a file.
    pub fn write_tables(&self, version: &str, finish_in_s: u64) -> PathBuf {
        let finish_by = fuchsiashore::clock::ProcessClock::start()
            .now()
            .after_ms(finish_in_s * 1_000);
        let text = format!(
            "[route stock]\npath = /stock\nmethods = GET, HEAD\npool = booking\ntimeout_ms = 4000\n\
             [route reserve]\npath = /reserve\nmethods = POST\npool = booking\ntimeout_ms = 4000\n\
             [pool booking]\nservice = booking\nversion = {version}\nfinish_by = {finish_by}\npolicy = cautious\n"
        );
        let file = self.folder.join("tables.ini");
        fs::write(&file, text).unwrap();
        file
    }

    /// Waits until the first daemon reports `count` serving targets.
    pub fn wait_for_serving(&self, count: usize) {
        wait_until("all targets to serve", || {
            let text = String::from_utf8(self.run_cli(&["status"]).stdout).unwrap();
            text.matches(" serving ").count() == count
        });
    }

    /// Returns how often each call ran, over all targets, by call id.
    pub async fn runs(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        for pair in &self.pairs {
            let url = format!("http://{}/lab/runs", pair.target_address);
            let Ok(answer) = reqwest::get(url).await else {
                continue;
            };
            for line in answer.text().await.unwrap().lines() {
                let (call, count) = line.rsplit_once(' ').unwrap();
                *runs.entry(call.to_owned()).or_default() += count.parse::<u32>().unwrap();
            }
        }
        runs
    }

    /// Sends a `PUT` for a `/lab/` path of the key-value service, such as `/lab/faults?down=true`, and returns the body
    /// of the response.
    pub async fn put_to_store(&self, path: &str) -> String {
        let client = reqwest::Client::new();
        client
            .put(format!("http://{}{path}", self.store))
            .send()
            .await
            .unwrap()
            .text()
            .await
            .unwrap()
    }
}

impl Pair {
    /// Returns the address of the daemon's control listener, from its settings.
    pub fn control_address(&self) -> String {
        let text = fs::read_to_string(&self.settings).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix("control = "));
        line.unwrap().to_owned()
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for pair in &mut self.pairs {
            let _ = (pair.daemon.kill(), pair.daemon.wait());
            if let Some(target) = &mut pair.target {
                let _ = (target.kill(), target.wait());
            }
        }
        let _ = (self.kv.kill(), self.kv.wait());
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Polls a condition and panics if it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn spawn(command: &mut Command) -> Child {
    command
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

fn spawn_daemon(settings: &PathBuf) -> Child {
    spawn(
        Command::new(env!("CARGO_BIN_EXE_fuchsiashored"))
            .arg("--settings")
            .arg(settings),
    )
}
