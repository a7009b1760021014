//! The load of a target as its gate tells it, with the ranks of the calls that wait.

use std::{
    fmt::{Display, Formatter},
    str::FromStr,
};

/// Ranks that are told apart; less urgent ones count as the last. The users' routes have three.
const RANKS: usize = 4;

/// Numbers of calls by the rank of their routes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RankCounts([u32; RANKS]);

impl RankCounts {
    /// Counts a call.
    pub fn add(&mut self, priority: u8) {
        self.0[slot_of(priority)] += 1;
    }

    /// Takes a counted call back.
    pub fn remove(&mut self, priority: u8) {
        let count = &mut self.0[slot_of(priority)];
        *count = count.saturating_sub(1);
    }

    /// Returns the number of calls that go before a new one of this rank.
    pub fn up_to(&self, priority: u8) -> u32 {
        self.0[..=slot_of(priority)].iter().sum()
    }

    /// Returns the number of all calls.
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }
}

fn slot_of(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}

/// What a gate tells of its target's load on each answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: RankCounts,
    /// Typical time of a run, in milliseconds; 0 if unknown.
    pub run_ms: f64,
}

impl Display for LoadReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{:.0}", self.running, self.run_ms)?;
        self.waiting.0.iter().try_for_each(|count| write!(f, ",{count}"))
    }
}

impl FromStr for LoadReport {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut words = text.split(',');
        let mut next = || {
            words
                .next()
                .ok_or("a load has a number for each rank, and two more")
        };
        let running = next()?.parse().map_err(|error| format!("{error}"))?;
        let run_ms = next()?.parse().map_err(|error| format!("{error}"))?;
        let mut waiting = RankCounts::default();
        for count in &mut waiting.0 {
            *count = next()?.parse().map_err(|error| format!("{error}"))?;
        }
        Ok(Self {
            running,
            waiting,
            run_ms,
        })
    }
}
