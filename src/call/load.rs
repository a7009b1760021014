//! Load reports of gates, with the number of queued calls per rank.

use std::{
    fmt::{Display, Formatter},
    str::FromStr,
};

/// Number of ranks counted separately; less urgent ones count as the last. The users' routes have three.
const RANKS: usize = 4;
/// Hundredths in a whole, as slowdowns are written.
const PERCENT: f64 = 100.0;

/// Number of calls per rank of their routes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RankCounts([u32; RANKS]);

impl RankCounts {
    /// Adds a call of a rank.
    pub fn add(&mut self, priority: u8) {
        self.0[rank_index(priority)] += 1;
    }

    /// Removes a call of a rank.
    pub fn remove(&mut self, priority: u8) {
        let count = &mut self.0[rank_index(priority)];
        *count = count.saturating_sub(1);
    }

    /// Returns the number of calls of this rank and more urgent ones, which precede a new call of this rank.
    pub fn up_to(&self, priority: u8) -> u32 {
        self.0[..=rank_index(priority)].iter().sum()
    }

    /// Returns the number of calls of all ranks.
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }
}

fn rank_index(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}

/// Load of a target, which its gate reports with each answer and refusal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Number of calls that the target is running.
    pub running: u32,
    /// Number of calls queued at the gate.
    pub waiting: RankCounts,
    /// Mean time of a run of the calls at the gate, in milliseconds; 0 if unknown.
    pub run_ms: f64,
    /// Mean time of a run of the route of the call that the report was sent with, in milliseconds; 0 if unknown.
    pub route_run_ms: f64,
    /// How long work takes on the target's VM at this moment, relative to its usual time; 1 if the target doesn't tell.
    pub slowdown: f64,
    /// Expected wait of a new call of the rank of the call that the report was sent with, in milliseconds, until it has
    /// a slot; `None` from gates of earlier builds.
    pub wait_ms: Option<f64>,
    /// Whether the gate knows the route of that call as one that targets call in runs of theirs.
    pub is_nested: bool,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self {
            running: 0,
            waiting: RankCounts::default(),
            run_ms: 0.0,
            route_run_ms: 0.0,
            slowdown: 1.0,
            wait_ms: None,
            is_nested: false,
        }
    }
}

/// Load that a target states itself in its answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetLoad {
    /// Number of calls that it is running.
    pub running: u32,
    /// Number of calls that it has queued.
    pub waiting: u32,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// How long work takes on its VM at this moment, relative to its usual time; `None` if it doesn't tell.
    pub slowdown: Option<f64>,
}

impl Display for LoadReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{:.0}", self.running, self.run_ms)?;
        self.waiting
            .0
            .iter()
            .try_for_each(|count| write!(f, ",{count}"))?;
        write!(f, ",{:.0},{:.0}", self.route_run_ms, self.slowdown * PERCENT)?;
        let Some(wait_ms) = self.wait_ms else {
            return Ok(());
        };
        write!(f, ",{wait_ms:.0},{}", u8::from(self.is_nested))
    }
}

impl FromStr for LoadReport {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut words = text.split(',');
        let mut next = || {
            words
                .next()
                .ok_or("a load report needs the running calls, the run time and a count for each rank")
        };
        let running = next()?.parse().map_err(|error| format!("{error}"))?;
        let run_ms = next()?.parse().map_err(|error| format!("{error}"))?;
        let mut waiting = RankCounts::default();
        for count in &mut waiting.0 {
            *count = next()?.parse().map_err(|error| format!("{error}"))?;
        }
        // Gates of earlier builds don't report it.
        let route_run_ms = next().ok().and_then(|word| word.parse().ok()).unwrap_or_default();
        let slowdown = next().ok().and_then(|word| word.parse::<f64>().ok());
        let slowdown = slowdown.map_or(1.0, |percent| percent / PERCENT);
        let wait_ms = next().ok().and_then(|word| word.parse().ok());
        let is_nested = next().is_ok_and(|word| word == "1");
        Ok(Self {
            running,
            waiting,
            run_ms,
            route_run_ms,
            slowdown,
            wait_ms,
            is_nested,
        })
    }
}
