//! Fake target: answers calls, counts how often each ran, and can fail, be slow or never answer.

use {
    crate::http::{respond, serve},
    parking_lot::Mutex,
    rand::RngExt,
    salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode},
    std::{
        collections::HashMap,
        fmt::Write as _,
        io,
        net::TcpListener,
        str::FromStr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Header with the id of a call, by which its runs are counted.
pub const CALL_HEADER: &str = "lab-call";
/// Default time to serve a call.
const DEFAULT_WORK_TIME: Duration = Duration::from_millis(2);
/// Time to serve a call for a slow target.
const SLOW_WORK_TIME: Duration = Duration::from_millis(60);
/// Share of calls that a failing target answers with 500.
const FAILURE_RATE: f64 = 0.4;

/// Behaviour of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetBehaviour {
    /// Answers every call successfully.
    Good,
    /// Answers 40 % of its calls with 500.
    Failing,
    /// Takes 60 ms for each call.
    Slow,
    /// Like [`Self::Good`] at first, and like [`Self::Failing`] after this many seconds.
    FailingAfter(u64),
    /// Never answers.
    Silent,
    /// Ends under a call with the query `deadly`.
    Fragile,
}

impl FromStr for TargetBehaviour {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once(':') {
            None if text == "good" => Ok(Self::Good),
            None if text == "failing" => Ok(Self::Failing),
            None if text == "slow" => Ok(Self::Slow),
            None if text == "silent" => Ok(Self::Silent),
            None if text == "fragile" => Ok(Self::Fragile),
            Some(("failing-after", seconds)) => seconds
                .parse()
                .map(Self::FailingAfter)
                .map_err(|error| error.to_string()),
            _ => Err("write good, failing, slow, silent, fragile or failing-after:SECONDS".to_owned()),
        }
    }
}

/// HTTP server of the target; clones share the counts.
#[derive(Debug, Clone)]
pub struct TargetServer {
    version: Arc<str>,
    behaviour: TargetBehaviour,
    started: Instant,
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl TargetServer {
    /// Creates a target of a version.
    pub fn new(version: &str, behaviour: TargetBehaviour) -> Self {
        Self {
            version: version.into(),
            behaviour,
            started: Instant::now(),
            runs: Arc::default(),
        }
    }

    /// Serves the listener until the runtime shuts down.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        serve(listener, self).await
    }

    fn count_run(&self, req: &Request) {
        let call = req
            .headers()
            .get(CALL_HEADER)
            .and_then(|value| value.to_str().ok());
        if let Some(call) = call {
            *self.runs.lock().entry(call.to_owned()).or_default() += 1;
        }
    }

    fn is_failing(&self) -> bool {
        match self.behaviour {
            TargetBehaviour::Failing => true,
            TargetBehaviour::FailingAfter(seconds) => self.started.elapsed().as_secs() >= seconds,
            TargetBehaviour::Good
            | TargetBehaviour::Slow
            | TargetBehaviour::Silent
            | TargetBehaviour::Fragile => false,
        }
    }

    fn list_runs(&self) -> String {
        let mut text = String::new();
        for (call, count) in self.runs.lock().iter() {
            let _ = writeln!(text, "{call} {count}");
        }
        text
    }

    async fn work(&self, req: &mut Request, res: &mut Response) {
        self.count_run(req);
        let bytes: usize = req.query("bytes").unwrap_or(0);
        let work_ms: Option<u64> = req.query("work_ms");
        let body = req
            .payload_with_max_size(256 << 20)
            .await
            .cloned()
            .unwrap_or_default();
        let work = match self.behaviour {
            TargetBehaviour::Slow => SLOW_WORK_TIME,
            TargetBehaviour::Silent => return std::future::pending().await,
            _ => work_ms.map_or(DEFAULT_WORK_TIME, Duration::from_millis),
        };
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
        if self.behaviour == TargetBehaviour::Fragile && req.query::<String>("deadly").is_some() {
            std::process::exit(1);
        }
        if self.is_failing() && rand::rng().random::<f64>() < FAILURE_RATE {
            respond(res, StatusCode::INTERNAL_SERVER_ERROR, "bad version\n");
            return;
        }
        let call = req
            .headers()
            .get(CALL_HEADER)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("");
        let mut text = format!(
            "{} {} {} {} {call}\n",
            self.version,
            req.method(),
            req.uri(),
            body.len()
        );
        text.extend(std::iter::repeat_n('x', bytes));
        respond(res, StatusCode::OK, text);
    }
}

#[async_trait]
impl Handler for TargetServer {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response, _ctrl: &mut FlowCtrl) {
        match req.uri().path() {
            "/lab/runs" => respond(res, StatusCode::OK, self.list_runs()),
            _ => self.work(req, res).await,
        }
    }
}
