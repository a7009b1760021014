//! Stand-in for a target: answers calls, counts how often each ran, and can be bad in several ways.

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

/// Header by which a caller names its call, so that runs can be counted.
pub const RUN_KEY: &str = "lab-call";
/// Time that a good answer takes.
const GOOD_WORK: Duration = Duration::from_millis(2);
/// Time that a slow answer takes.
const SLOW_WORK: Duration = Duration::from_millis(60);
/// Part of the calls that a failing target fails.
const FAIL_SHARE: f64 = 0.4;

/// How a target behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetBehaviour {
    /// Answers well.
    Good,
    /// Fails a share of its calls.
    Failing,
    /// Answers slowly.
    Slow,
    /// Is good at first and fails after this many seconds.
    FailingAfter(u64),
    /// Never answers.
    Silent,
}

impl FromStr for TargetBehaviour {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once(':') {
            None if text == "good" => Ok(Self::Good),
            None if text == "failing" => Ok(Self::Failing),
            None if text == "slow" => Ok(Self::Slow),
            None if text == "silent" => Ok(Self::Silent),
            Some(("failing-after", seconds)) => seconds
                .parse()
                .map(Self::FailingAfter)
                .map_err(|error| error.to_string()),
            _ => Err("write good, failing, slow, silent or failing-after:SECONDS".to_owned()),
        }
    }
}

/// The target.
#[derive(Debug, Clone)]
pub struct TargetServer {
    version: Arc<str>,
    behaviour: TargetBehaviour,
    started: Instant,
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl TargetServer {
    /// Makes a target of a version.
    pub fn new(version: &str, behaviour: TargetBehaviour) -> Self {
        Self {
            version: version.into(),
            behaviour,
            started: Instant::now(),
            runs: Arc::default(),
        }
    }

    /// Serves the listener until the runtime ends.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        serve(listener, self).await
    }

    fn note_run(&self, req: &Request) {
        let key = req.headers().get(RUN_KEY).and_then(|key| key.to_str().ok());
        if let Some(key) = key {
            *self.runs.lock().entry(key.to_owned()).or_default() += 1;
        }
    }

    fn is_failing(&self) -> bool {
        match self.behaviour {
            TargetBehaviour::Failing => true,
            TargetBehaviour::FailingAfter(seconds) => self.started.elapsed().as_secs() >= seconds,
            TargetBehaviour::Good | TargetBehaviour::Slow | TargetBehaviour::Silent => false,
        }
    }

    fn list_runs(&self) -> String {
        let mut text = String::new();
        for (key, count) in self.runs.lock().iter() {
            let _ = writeln!(text, "{key} {count}");
        }
        text
    }

    async fn work(&self, req: &mut Request, res: &mut Response) {
        self.note_run(req);
        let bytes: usize = req.query("bytes").unwrap_or(0);
        let work_ms: Option<u64> = req.query("work_ms");
        let body = req
            .payload_with_max_size(256 << 20)
            .await
            .cloned()
            .unwrap_or_default();
        let work = match self.behaviour {
            TargetBehaviour::Slow => SLOW_WORK,
            TargetBehaviour::Silent => return std::future::pending().await,
            _ => work_ms.map_or(GOOD_WORK, Duration::from_millis),
        };
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
        if self.is_failing() && rand::rng().random::<f64>() < FAIL_SHARE {
            respond(res, StatusCode::INTERNAL_SERVER_ERROR, "bad version\n");
            return;
        }
        let key = req
            .headers()
            .get(RUN_KEY)
            .and_then(|key| key.to_str().ok())
            .unwrap_or("");
        let mut text = format!(
            "{} {} {} {} {key}\n",
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
