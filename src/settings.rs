//! Settings of the daemon. All of them are parsed and checked here, and all faults are reported together.

use {
    crate::{
        call::DEFAULT_EXTRA_RETRIES,
        config::{ParseFault, ParseFaults},
        ini::{IniSection, read_sections},
    },
    std::{
        fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::Arc,
    },
    thiserror::Error,
};

/// Highest value of the `extra_retries` setting.
const MAX_EXTRA_RETRIES: u32 = 1_000_000;
/// Highest time limit of a drain, in milliseconds.
const MAX_DRAIN_MS: u64 = 3_600_000;

/// Settings that can't be loaded.
#[derive(Debug, Error, miette::Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file {path} can't be read: {error}")]
    #[diagnostic(help("give the path of a readable file with --settings"))]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The file has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faults(#[from] ParseFaults),
}

/// Settings of the section `[daemon]`, with those of the target.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonSettings {
    /// File that the settings were read from; `None` if they were parsed from text.
    pub file: Option<PathBuf>,
    /// Name of the daemon, unique in the mesh.
    pub name: Arc<str>,
    /// Identity of the mesh; control messages of other meshes are refused.
    pub mesh: Arc<str>,
    /// Region of the daemon.
    pub region: Arc<str>,
    /// Data centre of the daemon.
    pub data_centre: Arc<str>,
    /// Listening address for callers.
    pub calls: SocketAddr,
    /// Listening address for calls from proxies to this daemon's target.
    pub gate: SocketAddr,
    /// Listening address for control messages (TCP and UDP).
    pub control: SocketAddr,
    /// Listening address for operators.
    pub operators: SocketAddr,
    /// Listening address for readiness checks by callers' load balancers.
    pub ready: Option<SocketAddr>,
    /// Listening address for the target's announcements; without it the section `[target]` describes the target.
    pub announcements: Option<SocketAddr>,
    /// Address of the platform's key-value service.
    pub store: Arc<str>,
    /// Control addresses of daemons that are contacted to join the mesh.
    pub peers: Vec<SocketAddr>,
    /// Number of threads that carry traffic.
    pub traffic_threads: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of watches and reads of the configuration in the store per second.
    pub store_calls_per_s: u32,
    /// Number of daemons in each data centre that watch the store.
    pub watchers: usize,
    /// Retries per pool that all daemons together may make in a short time beyond the budgeted share of the calls.
    pub extra_retries: u32,
    /// Time for which a request is held back first after targets ended under it, in milliseconds; 0 if none is.
    pub quarantine_ms: u64,
    /// Calls that a cold target may get, in percent of those that it bears; `None` if they are not limited.
    pub cold_overshoot_percent: Option<u32>,
    /// Time from the acceptance of a configuration without a key until no call runs under that key at any daemon, in
    /// milliseconds; 0 for as soon as each daemon has it.
    pub revoke_ms: u64,
    /// Time that callers have to move away from a daemon that stops, in milliseconds.
    pub leave_ms: u64,
    /// Maximum time of a drain, in milliseconds; the process exits then even if calls are still in flight.
    pub drain_limit_ms: u64,
    /// Rate of the VM's link, in megabits per second; `None` if it is not known.
    pub link_mbps: Option<f64>,
    /// Memory of the VM, in MiB; `None` if it is not known.
    pub memory_mb: Option<f64>,
    /// The target beside the daemon.
    pub target: TargetSettings,
}

/// Settings of the section `[target]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSettings {
    /// Service that the target serves.
    pub service: Arc<str>,
    /// Version of the target; may be empty if the target announces it.
    pub version: Arc<str>,
    /// Address of the target.
    pub address: SocketAddr,
    /// Number of calls that the target serves concurrently.
    pub slots: u32,
    /// Maximum number of connections that the target accepts.
    pub connections: u32,
    /// Maximum number of calls queued at the gate for a slot.
    pub queue: usize,
}

impl DaemonSettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let shown = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| SettingsError::File {
            path: shown.clone(),
            error,
        })?;
        let settings = Self::parse(&shown, &text)?;
        Ok(Self {
            file: Some(path.to_owned()),
            ..settings
        })
    }

    /// Reads and checks settings from text.
    pub fn parse(file: &str, text: &str) -> Result<Self, ParseFaults> {
        let mut faults = Vec::new();
        let mut sections = read_sections(&Arc::from(file), text, &mut faults);
        for section in &sections {
            if section.title != "daemon" && section.title != "target" {
                faults.push(section.fault("", "unknown section; only [daemon] and [target] are allowed"));
            }
        }
        let mut daemon = take_section(&mut sections, file, "daemon", &mut faults);
        let mut target = take_section(&mut sections, file, "target", &mut faults);
        let is_announced = daemon.has("announcements");
        let target_settings = read_target(&mut target, is_announced, &mut faults);
        let settings = read_daemon(&mut daemon, target_settings, &mut faults);
        daemon.reject_unknown_keys(&mut faults);
        target.reject_unknown_keys(&mut faults);
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(ParseFaults(faults))
        }
    }
}

fn take_section(
    sections: &mut Vec<IniSection>,
    file: &str,
    title: &str,
    faults: &mut Vec<ParseFault>,
) -> IniSection {
    if let Some(at) = sections.iter().position(|section| section.title == title) {
        return sections.remove(at);
    }
    let section = IniSection::empty(file, title);
    faults.push(section.fault("", "this section is missing; add it"));
    section
}

fn read_daemon(
    section: &mut IniSection,
    target: TargetSettings,
    faults: &mut Vec<ParseFault>,
) -> DaemonSettings {
    DaemonSettings {
        file: None,
        name: section.take_required("name", faults),
        mesh: section.take_required("mesh", faults),
        region: section.take_required("region", faults),
        data_centre: section.take_required("data_centre", faults),
        calls: take_address(section, "calls", faults),
        gate: take_address(section, "gate", faults),
        control: take_address(section, "control", faults),
        operators: take_address(section, "operators", faults),
        ready: take_optional_address(section, "ready", faults),
        announcements: take_optional_address(section, "announcements", faults),
        store: section.take_required("store", faults),
        peers: take_peers(section, faults),
        traffic_threads: take_number(section, "traffic_threads", (1, 64), 1, faults) as usize,
        max_body_bytes: take_number(section, "max_body_bytes", (1, 1 << 40), 64 << 20, faults),
        store_calls_per_s: take_number(section, "store_calls_per_s", (1, 1_000), 2, faults) as u32,
        watchers: take_number(section, "watchers", (1, 1_000), 2, faults) as usize,
        extra_retries: take_extra_retries(section, faults),
        quarantine_ms: take_number(section, "quarantine_ms", (0, 3_600_000), 30_000, faults),
        cold_overshoot_percent: take_cold_overshoot(section, faults),
        revoke_ms: take_number(section, "revoke_ms", (0, 3_600_000), 0, faults),
        leave_ms: take_number(section, "leave_ms", (0, 3_600_000), 1_000, faults),
        drain_limit_ms: take_drain_limit(section, faults),
        link_mbps: take_quantity(section, "link_mbps", faults),
        memory_mb: take_quantity(section, "memory_mb", faults),
        target,
    }
}

fn read_target(section: &mut IniSection, is_announced: bool, faults: &mut Vec<ParseFault>) -> TargetSettings {
    let version = if is_announced {
        section.take("version").unwrap_or_default().into()
    } else {
        section.take_required("version", faults)
    };
    let target = TargetSettings {
        service: section.take_required("service", faults),
        version,
        address: take_address(section, "address", faults),
        slots: take_number(section, "slots", (1, 100_000), 12, faults) as u32,
        connections: take_number(section, "connections", (1, 100_000), 120, faults) as u32,
        queue: take_number(section, "queue", (0, 100_000), 24, faults) as usize,
    };
    if target.slots > target.connections {
        faults.push(section.fault(
            "slots",
            "more slots than connections; lower slots or raise connections",
        ));
    }
    target
}

/// Reads a property of the VM, which may have a fraction. It is unknown if the key is missing or empty.
fn take_quantity(section: &mut IniSection, key: &str, faults: &mut Vec<ParseFault>) -> Option<f64> {
    let remedy = "write a number from 0.001 to 1000000, or nothing if it is not known";
    let quantity = section.take_parsed(key, remedy, faults, |text| {
        if text.is_empty() {
            return Some(None);
        }
        let quantity = text.parse().ok()?;
        (0.001..=1e6).contains(&quantity).then_some(Some(quantity))
    });
    quantity.flatten()
}

fn take_number(
    section: &mut IniSection,
    key: &str,
    (low, high): (u64, u64),
    default: u64,
    faults: &mut Vec<ParseFault>,
) -> u64 {
    let remedy = format!("write a whole number from {low} to {high}");
    let number = section.take_parsed(key, &remedy, faults, |text| {
        text.parse().ok().filter(|number| (low..=high).contains(number))
    });
    number.unwrap_or(default)
}

/// Reads the `extra_retries` key. Whoever computes it from the size of the mesh may write a fraction; it is rounded
/// down, so that the budget is kept.
fn take_extra_retries(section: &mut IniSection, faults: &mut Vec<ParseFault>) -> u32 {
    let remedy = format!("write a number from 0 to {MAX_EXTRA_RETRIES}");
    let number = section.take_parsed("extra_retries", &remedy, faults, |text| {
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        if fraction.is_empty() || !fraction.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        whole.parse().ok().filter(|number| *number <= MAX_EXTRA_RETRIES)
    });
    number.unwrap_or(DEFAULT_EXTRA_RETRIES)
}

/// Reads the `cold_overshoot` key: a factor, or nothing if a deployment sets none.
fn take_cold_overshoot(section: &mut IniSection, faults: &mut Vec<ParseFault>) -> Option<u32> {
    let remedy = "write a factor from 0.1 to 100, or nothing";
    let percent = section.take_parsed("cold_overshoot", remedy, faults, |text| match text {
        "" => Some(None),
        text => {
            let factor: f64 = text.parse().ok()?;
            (0.1..=100.0)
                .contains(&factor)
                .then_some(Some((factor * 100.0) as u32))
        }
    });
    percent.flatten()
}

/// Reads the time limit of a drain, in milliseconds: from `drain_limit_s`, which may have a fraction, or `drain_limit_ms`.
fn take_drain_limit(section: &mut IniSection, faults: &mut Vec<ParseFault>) -> u64 {
    if !section.has("drain_limit_s") {
        return take_number(section, "drain_limit_ms", (1, MAX_DRAIN_MS), 60_000, faults);
    }
    let remedy = "write seconds from 0.001 to 3600";
    let limit_ms = section.take_parsed("drain_limit_s", remedy, faults, |text| {
        let limit_ms = text.parse::<f64>().ok()? * 1e3;
        (1.0..=MAX_DRAIN_MS as f64)
            .contains(&limit_ms)
            .then_some(limit_ms as u64)
    });
    limit_ms.unwrap_or(MAX_DRAIN_MS)
}

fn take_address(section: &mut IniSection, key: &str, faults: &mut Vec<ParseFault>) -> SocketAddr {
    let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
    if !section.has(key) {
        faults.push(section.fault(key, "this key is missing; add it"));
        return placeholder;
    }
    section
        .take_parsed(
            key,
            "write an IP address and a port, such as 10.0.0.7:7000",
            faults,
            |text| text.parse().ok(),
        )
        .unwrap_or(placeholder)
}

fn take_optional_address(
    section: &mut IniSection,
    key: &str,
    faults: &mut Vec<ParseFault>,
) -> Option<SocketAddr> {
    section.has(key).then(|| take_address(section, key, faults))
}

fn take_peers(section: &mut IniSection, faults: &mut Vec<ParseFault>) -> Vec<SocketAddr> {
    let peers = section.take_parsed(
        "peers",
        "write addresses with ports, separated by spaces",
        faults,
        |text| text.split_whitespace().map(|word| word.parse().ok()).collect(),
    );
    peers.unwrap_or_default()
}
