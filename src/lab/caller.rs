//! Stand-in for callers: a bounded load of repeatable and non-repeatable calls, with a report.

use {
    super::target::RUN_KEY,
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

/// Highest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Time after which a call that was not answered counts as lost.
const CALL_LIMIT: Duration = Duration::from_secs(15);

/// What the callers do.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Addresses that take calls, used in turn.
    pub daemons: Vec<SocketAddr>,
    /// Paths with their methods, used in turn.
    pub requests: Vec<(reqwest::Method, String)>,
    /// Calls a second.
    pub rate: u32,
    /// Calls in all.
    pub count: u32,
    /// Prefix of the calls' names.
    pub name: String,
}

/// What came of the calls.
#[derive(Debug)]
pub struct CallerReport {
    /// Calls by outcome.
    pub outcomes: IndexMap<String, u64>,
    /// Latencies of answered calls, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Non-repeatable calls that were answered well.
    pub confirmed: Vec<String>,
    /// Non-repeatable calls that were refused as not run.
    pub not_run: Vec<String>,
    /// Answers that did not belong to their request or were incomplete.
    pub wrong: u64,
}

impl CallerReport {
    fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
        Self {
            outcomes: IndexMap::new(),
            latency_us,
            confirmed: Vec::new(),
            not_run: Vec::new(),
            wrong: 0,
        }
    }

    fn count(&mut self, outcome: &str) {
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
    }
}

/// Sends the calls at a steady rate and returns the report.
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
        .header(RUN_KEY, &call)
        .timeout(CALL_LIMIT);
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
            let own = text
                .lines()
                .next()
                .is_some_and(|line| line.ends_with(&format!(" {call}")));
            report.wrong += u64::from(!own);
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
