//! Load generator: sends a fixed number of repeatable (`GET`) and non-repeatable calls and reports their outcomes.

use {
    super::target::CALL_HEADER,
    crate::{
        daemon::header,
        http::{CLIENT_IDLE_TIMEOUT, plain_client},
    },
    hdrhistogram::Histogram,
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{MissedTickBehavior, interval},
    },
};

/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Timeout of a call. Without an answer by then it counts as `no-answer`, with an incomplete body as `cut`.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Load that [`run_caller`] generates.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Addresses to which calls are sent, in rotation.
    pub daemons: Vec<SocketAddr>,
    /// Methods and paths, in rotation.
    pub requests: Vec<(reqwest::Method, String)>,
    /// Calls per second; 0 counts as 1.
    pub rate: u32,
    /// Total number of calls.
    pub count: u32,
    /// Prefix of the call ids.
    pub name: String,
}

/// Outcomes and latencies of the calls.
#[derive(Debug)]
pub struct CallerReport {
    /// Number of calls by outcome.
    pub outcomes: IndexMap<String, u64>,
    /// Latencies of answered calls, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Ids of the non-repeatable calls with a successful answer.
    pub confirmed: Vec<String>,
    /// Ids of the non-repeatable calls that were refused as not run.
    pub not_run: Vec<String>,
    /// Number of successful answers whose first line does not end with the id of their call: they belong to another
    /// call or are incomplete.
    pub mismatched: u64,
}

impl CallerReport {
    fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
        Self {
            outcomes: IndexMap::new(),
            latency_us,
            confirmed: Vec::new(),
            not_run: Vec::new(),
            mismatched: 0,
        }
    }

    fn count(&mut self, outcome: &str) {
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
    }
}

/// Sends the calls at a constant rate, waits for all of them and returns the report. Calls that are late are sent at
/// once.
pub async fn run_caller(settings: CallerSettings) -> CallerReport {
    let report = Arc::new(Mutex::new(CallerReport::new()));
    let client = plain_client(CLIENT_IDLE_TIMEOUT);
    let mut ticks = interval(Duration::from_secs(1) / settings.rate.max(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = JoinSet::new();
    for number in 0..settings.count {
        ticks.tick().await;
        let (method, path) = settings.requests[number as usize % settings.requests.len()].clone();
        let daemon = settings.daemons[number as usize % settings.daemons.len()];
        let call = format!("{}-{number}", settings.name);
        calls.spawn(send_call(
            client.clone(),
            daemon,
            method,
            path,
            call,
            Arc::clone(&report),
        ));
    }
    while calls.join_next().await.is_some() {}
    std::mem::replace(&mut *report.lock(), CallerReport::new())
}

async fn send_call(
    client: reqwest::Client,
    daemon: SocketAddr,
    method: reqwest::Method,
    path: String,
    call: String,
    report: Arc<Mutex<CallerReport>>,
) {
    let started = Instant::now();
    let is_repeatable = method == reqwest::Method::GET;
    let request = client
        .request(method, format!("http://{daemon}{path}"))
        .header(CALL_HEADER, &call)
        .timeout(CALL_TIMEOUT);
    let answer = request.send().await;
    let Ok(answer) = answer else {
        report.lock().count("no-answer");
        return;
    };
    let status = answer.status();
    let outcome = answer
        .headers()
        .get(header::OUTCOME)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let text = answer.text().await;
    let mut report = report.lock();
    match (&outcome, text) {
        (Some(outcome), _) => {
            report.count(outcome);
            if outcome == "not-run" && !is_repeatable {
                report.not_run.push(call);
            }
        }
        (None, Ok(text)) if status.is_success() => {
            let is_own = text
                .lines()
                .next()
                .is_some_and(|line| line.ends_with(&format!(" {call}")));
            report.mismatched += u64::from(!is_own);
            report.count("answered");
            let latency_us = started.elapsed().as_micros() as u64;
            report.latency_us.saturating_record(latency_us);
            if !is_repeatable {
                report.confirmed.push(call);
            }
        }
        (None, Ok(_)) => report.count(&format!("status-{}", status.as_u16())),
        (None, Err(_)) => report.count("cut"),
    }
}
