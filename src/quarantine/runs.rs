//! The runs at the target beside this daemon.

use {
    super::fingerprint::CallFingerprints,
    crate::{clock::TimePoint, macros::key_type},
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Time for which a run that its caller cancelled may still end the target, in milliseconds.
const CANCELLED_TTL_MS: u64 = 2_000;
/// Maximum number of cancelled runs that are remembered.
const MAX_CANCELLED: usize = 64;

key_type! {
    /// Identifies a run at this gate.
    pub struct RunId(pub u64);
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunPhase {
    Running,
    /// Its connection broke.
    Broken,
    /// The caller went away. The target may be at work on it until this time.
    Cancelled {
        until: TimePoint,
    },
}

/// A run at the target.
#[derive(Debug, Clone)]
pub struct GateRun {
    /// Fingerprints of the request.
    pub fingerprints: CallFingerprints,
    /// Description of the request, for logs.
    pub subject: Arc<str>,
    pub(super) started_at: TimePoint,
    phase: RunPhase,
}

/// Runs at the target beside this daemon.
#[derive(Debug, Clone, Default)]
pub struct GateRuns {
    runs: IndexMap<RunId, GateRun>,
    last_id: u64,
}

impl GateRuns {
    /// Adds a run.
    pub fn start(&mut self, fingerprints: CallFingerprints, subject: Arc<str>, now: TimePoint) -> RunId {
        self.last_id += 1;
        let id = RunId(self.last_id);
        let run = GateRun {
            fingerprints,
            subject,
            started_at: now,
            phase: RunPhase::Running,
        };
        self.runs.insert(id, run);
        id
    }

    /// Removes a run that has ended.
    pub fn finish(&mut self, id: RunId) -> Option<GateRun> {
        self.runs.swap_remove(&id)
    }

    /// Keeps a run whose caller went away for as long as it may end the target.
    pub fn cancel(&mut self, id: RunId, now: TimePoint) {
        self.expire(now);
        if self.runs.len() - self.count_open() >= MAX_CANCELLED {
            self.runs.swap_remove(&id);
        } else if let Some(run) = self.runs.get_mut(&id) {
            let until = now.after_ms(CANCELLED_TTL_MS);
            run.phase = RunPhase::Cancelled { until };
        }
    }

    /// Returns whether a run is listed. One that broke is not any more once [`Self::take_ended`] has taken it.
    pub fn contains(&self, id: RunId) -> bool {
        self.runs.contains_key(&id)
    }

    /// Marks a run as broken: its connection ended without a whole answer.
    pub fn break_off(&mut self, id: RunId) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.phase = RunPhase::Broken;
        }
    }

    /// Returns whether all runs that are as old as this one are broken, as when the target has ended.
    pub fn are_all_broken(&self, id: RunId) -> bool {
        let Some(broken) = self.runs.get(&id) else {
            return false;
        };
        let mut as_old = self
            .runs
            .values()
            .filter(|run| run.started_at <= broken.started_at);
        as_old.all(|run| run.phase != RunPhase::Running)
    }

    /// Returns whether a request with one of these fingerprints is running.
    pub fn is_running(&self, fingerprints: &CallFingerprints) -> bool {
        let mut running = self.runs.values().filter(|run| run.phase == RunPhase::Running);
        running.any(|run| run.fingerprints.overlaps(fingerprints))
    }

    /// Takes what the target was at work on when the run `id` broke; nothing if it was taken with another run.
    pub fn take_ended(&mut self, id: RunId, now: TimePoint) -> Vec<GateRun> {
        self.expire(now);
        if !self.runs.contains_key(&id) {
            return Vec::new();
        }
        let has_ended = |run: &GateRun| run.phase != RunPhase::Running;
        let ended = self.runs.values().filter(|run| has_ended(run)).cloned().collect();
        self.runs.retain(|_, run| !has_ended(run));
        ended
    }

    fn count_open(&self) -> usize {
        let open = |run: &&GateRun| !matches!(run.phase, RunPhase::Cancelled { .. });
        self.runs.values().filter(open).count()
    }

    fn expire(&mut self, now: TimePoint) {
        self.runs.retain(|_, run| match run.phase {
            RunPhase::Cancelled { until } => until > now,
            RunPhase::Running | RunPhase::Broken => true,
        });
    }
}
