//! A small mesh of real processes on loopback, ended by id when dropped.

#![allow(dead_code, reason = "each test file uses a part of it")]

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

/// Time that anything may take to happen; generous, as CI machines are slow.
pub const PATIENCE: Duration = Duration::from_mins(1);

/// One target with its daemon.
#[derive(Debug)]
pub struct Pair {
    pub name: String,
    pub calls: SocketAddr,
    pub operators: SocketAddr,
    pub target_address: SocketAddr,
    settings: PathBuf,
    pub daemon: Child,
    pub target: Option<Child>,
}

/// A store, pairs and their files.
#[derive(Debug)]
pub struct Mesh {
    pub store: SocketAddr,
    pub pairs: Vec<Pair>,
    /// Whether the settings of further daemons name peers.
    pub names_peers: bool,
    folder: PathBuf,
    kv: Child,
}

impl Mesh {
    /// Starts a store and `count` pairs of service `booking` at version `v1`.
    pub fn start(test: &str, count: usize) -> Self {
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
            names_peers: true,
            folder,
            kv,
        };
        for _ in 0..count {
            mesh.add_pair("v1", "good", None);
        }
        mesh.wait_for_serving(count);
        mesh
    }

    /// Starts a pair; `through` is the address at which the daemon reaches the target, if it is not its own.
    pub fn add_pair(&mut self, version: &str, behaviour: &str, through: Option<SocketAddr>) -> usize {
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
        let number = self.add_daemon(version, through.unwrap_or(address));
        let pair = &mut self.pairs[number];
        pair.target_address = address;
        pair.target = Some(target);
        number
    }

    /// Starts a daemon beside a target that runs already. The first four share a data centre, so that calls of one of
    /// them go to all.
    pub fn add_daemon(&mut self, version: &str, target_address: SocketAddr) -> usize {
        let ports = free_ports(4);
        let [calls, gate, control, operators] = ports[..] else {
            unreachable!()
        };
        let number = self.pairs.len();
        let name = format!("booking-{number}");
        let peers: Vec<String> = self.pairs.iter().take(2).map(Pair::control_address).collect();
        let peers = if peers.is_empty() || !self.names_peers {
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

    /// Kills a daemon with SIGKILL.
    pub fn kill_daemon(&mut self, number: usize) {
        let daemon = &mut self.pairs[number].daemon;
        daemon.kill().unwrap();
        daemon.wait().unwrap();
    }

    /// Starts a daemon again after it ended.
    pub fn restart_daemon(&mut self, number: usize) {
        self.pairs[number].daemon = spawn_daemon(&self.pairs[number].settings);
    }

    /// Sends a signal to a daemon.
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

    /// Runs the operators' program.
    pub fn run_cli(&self, args: &[&str]) -> Output {
        let (store, daemon) = (self.store.to_string(), self.pairs[0].operators.to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_fuchsiashore"));
        command
            .args(args)
            .args(["--store", &store, "--daemon", &daemon, "--author", "test"]);
        command.output().unwrap()
    }

    /// Applies tables with routes `/stock` (GET), `/reserve` (POST) and waits until they are in force everywhere.
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

    /// Writes the tables that [`Self::apply`] applies.
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

    /// Waits until a daemon sees `count` targets that serve.
    pub fn wait_for_serving(&self, count: usize) {
        wait_until("the targets to announce themselves", || {
            let text = String::from_utf8(self.run_cli(&["status"]).stdout).unwrap();
            text.matches(" serving ").count() == count
        });
    }

    /// Returns how often each named call ran at all targets.
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

    /// Asks the store stand-in for something of its own, such as `/lab/faults?down=true`.
    pub async fn ask_store(&self, path: &str) -> String {
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
    /// Returns the address of its control listener.
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

/// Waits until something holds, and fails the test if it does not in time.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
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
