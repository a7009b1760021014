//! The simulated scenarios: faults of the new version, and conditions of the move.

use crate::moves::MIN_MOVE_MS;

/// Length of a long move, in milliseconds.
const LONG_MOVE_MS: u64 = 600_000;
/// Time for which the old version serves before a long move, and before a short one, in milliseconds.
const HISTORY_MS: (u64, u64) = (300_000, 4_000);
/// Interval between the starts of failure bursts and length of a burst, for long moves and for short ones, in
/// milliseconds.
const BURST_MS: [(u64, u64); 2] = [(60_000, 10_000), (8_000, 3_000)];
/// Lengths of short moves, in milliseconds: the users' orders last 12 to 16 s.
const SHORT_MOVES_MS: [u64; 3] = [12_000, 14_000, 16_000];

/// Fault of a new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum VersionFault {
    /// No fault.
    None,
    /// A share of the calls fails from a given time on.
    Fails {
        /// Share of failing calls.
        share: f64,
        /// Time after the start of the move, in seconds.
        from_s: f64,
    },
    /// Calls are slower by a factor from a given time on.
    Slow {
        /// Factor on the latency.
        factor: f64,
        /// Time after the start of the move, in seconds.
        from_s: f64,
    },
    /// A share of the calls fails while the version receives at least a given share of the traffic.
    FailsUnderLoad {
        /// Share of failing calls.
        share: f64,
        /// Traffic share at which it begins.
        from_share: f64,
    },
    /// A share of the calls on the less frequent route fails.
    FailsOnRoute {
        /// Share of failing calls.
        share: f64,
    },
}

/// One scenario, which is a row of the table for each rule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MoveScenario {
    /// Name of the scenario.
    pub name: &'static str,
    /// Fault of the new version.
    pub fault: VersionFault,
    /// Length of the move, in milliseconds.
    pub move_ms: u64,
    /// Calls per second of the pool.
    pub rate: f64,
    /// Share of calls that fails on both versions outside bursts.
    pub noise: f64,
    /// Whether both versions have bursts of failures, in which a fifth of all calls fails.
    pub has_bursts: bool,
    /// Whether the store is down in every other tenth of the move, beginning with the first.
    pub has_store_outages: bool,
    /// When the controller's daemon is killed or suspended, in seconds after the start of the move.
    pub controller_fails_at_s: Option<f64>,
    /// How long the controller's daemon is suspended then, in seconds; `None` if it is killed.
    pub controller_suspended_s: Option<f64>,
    /// Whether the targets of the new version are slow in the first seconds after their first call.
    pub has_cold_start: bool,
}

impl MoveScenario {
    const fn new(name: &'static str, fault: VersionFault) -> Self {
        Self {
            name,
            fault,
            move_ms: LONG_MOVE_MS,
            rate: 100.0,
            noise: 0.001,
            has_bursts: false,
            has_store_outages: false,
            controller_fails_at_s: None,
            controller_suspended_s: None,
            has_cold_start: false,
        }
    }

    /// Returns whether the new version has no fault.
    pub fn is_good(&self) -> bool {
        self.fault == VersionFault::None
    }

    /// Returns the name of the scenario, with the length of a short move in seconds.
    pub fn label(&self) -> String {
        if self.is_short() {
            format!("{}, {} s", self.name, self.move_ms / 1_000)
        } else {
            self.name.to_owned()
        }
    }

    /// Returns whether the move is a short one.
    pub fn is_short(&self) -> bool {
        self.move_ms < MIN_MOVE_MS
    }

    /// Returns how long the old version serves before the move, in milliseconds.
    pub(super) fn history_ms(&self) -> u64 {
        if self.is_short() {
            HISTORY_MS.1
        } else {
            HISTORY_MS.0
        }
    }

    /// Returns the interval between the starts of bursts and the length of a burst, in milliseconds.
    pub(super) fn burst_ms(&self) -> (u64, u64) {
        BURST_MS[usize::from(self.is_short())]
    }
}

/// Returns the scenarios of long moves.
pub fn long_scenarios() -> Vec<MoveScenario> {
    use VersionFault::{Fails, FailsOnRoute, FailsUnderLoad, None, Slow};
    let fails = Fails {
        share: 0.3,
        from_s: 0.0,
    };
    let slow = Slow {
        factor: 4.0,
        from_s: 0.0,
    };
    let late = Fails {
        share: 0.3,
        from_s: 400.0,
    };
    let base = MoveScenario::new;
    vec![
        base("good", None),
        MoveScenario {
            noise: 0.02,
            has_bursts: true,
            ..base("good, noisy back ends", None)
        },
        MoveScenario {
            rate: 2.0,
            ..base("good, few calls", None)
        },
        MoveScenario {
            has_store_outages: true,
            ..base("good, store down half the time", None)
        },
        MoveScenario {
            controller_fails_at_s: Some(250.0),
            ..base("good, controller killed", None)
        },
        MoveScenario {
            controller_fails_at_s: Some(250.0),
            controller_suspended_s: Some(20.0),
            ..base("good, controller paused", None)
        },
        MoveScenario {
            has_cold_start: true,
            ..base("good, cold start", None)
        },
        base("fails at once", fails),
        base(
            "fails a little at once",
            Fails {
                share: 0.05,
                from_s: 0.0,
            },
        ),
        base("slow at once", slow),
        base("fails after some minutes", late),
        base(
            "slow after some minutes",
            Slow {
                factor: 4.0,
                from_s: 400.0,
            },
        ),
        base(
            "fails under load only",
            FailsUnderLoad {
                share: 0.3,
                from_share: 0.5,
            },
        ),
        base("fails on one route only", FailsOnRoute { share: 0.3 }),
        MoveScenario {
            rate: 2.0,
            ..base("fails, few calls", fails)
        },
        MoveScenario {
            noise: 0.02,
            has_bursts: true,
            ..base("fails, noisy back ends", fails)
        },
        MoveScenario {
            has_store_outages: true,
            ..base("fails late, store down half the time", late)
        },
        MoveScenario {
            controller_fails_at_s: Some(400.0),
            ..base("fails late, controller killed then", late)
        },
        MoveScenario {
            controller_fails_at_s: Some(399.0),
            controller_suspended_s: Some(20.0),
            ..base("fails late, controller paused then", late)
        },
    ]
}

/// Returns the scenarios of short moves, each at every length. The call rates, the noise and the shares of failing calls are
/// those seen in the users' traffic.
pub fn short_scenarios() -> Vec<MoveScenario> {
    SHORT_MOVES_MS.into_iter().flat_map(short_scenarios_of).collect()
}

fn short_scenarios_of(move_ms: u64) -> Vec<MoveScenario> {
    use VersionFault::{Fails, FailsOnRoute, FailsUnderLoad, None, Slow};
    let base = |name, fault| MoveScenario {
        move_ms,
        rate: 220.0,
        noise: 0.02,
        ..MoveScenario::new(name, fault)
    };
    let busy = |name, fault| MoveScenario {
        rate: 600.0,
        ..base(name, fault)
    };
    let noisy = |name, fault| MoveScenario {
        has_bursts: true,
        ..base(name, fault)
    };
    let killed = |name, fault, fraction: f64| MoveScenario {
        // Rounded to half a second, as the kill must coincide with a time step of the simulation.
        controller_fails_at_s: Some((move_ms as f64 * fraction / 500.0).round() / 2.0),
        ..base(name, fault)
    };
    let fails = |share, fraction: f64| Fails {
        share,
        from_s: move_ms as f64 * fraction / 1e3,
    };
    let under_load = |share| FailsUnderLoad {
        share,
        from_share: 0.2,
    };
    let slow = Slow {
        factor: 4.0,
        from_s: 0.0,
    };
    vec![
        base("good", None),
        busy("good, many calls", None),
        MoveScenario {
            rate: 20.0,
            ..base("good, few calls", None)
        },
        noisy("good, noisy back ends", None),
        MoveScenario {
            has_cold_start: true,
            ..base("good, cold start", None)
        },
        killed("good, controller killed in the trial", None, 0.3),
        killed("good, controller killed in the rise", None, 0.6),
        base("fails at once", fails(0.5, 0.0)),
        base("fails a little at once", fails(0.15, 0.0)),
        base("slow at once", slow),
        base("fails on one route only", FailsOnRoute { share: 0.5 }),
        base("fails late", fails(0.5, 0.5)),
        base("fails under load", under_load(0.35)),
        busy("fails under load, many calls", under_load(0.35)),
        noisy("fails under load, noisy back ends", under_load(0.35)),
        base("fails a little under load", under_load(0.12)),
        base(
            "fails under heavy load",
            FailsUnderLoad {
                share: 0.35,
                from_share: 0.6,
            },
        ),
        killed(
            "fails a little under load, killed in the trial",
            under_load(0.12),
            0.25,
        ),
        killed("fails under load, killed in the trial", under_load(0.35), 0.25),
        killed("fails under load, killed in the rise", under_load(0.35), 0.65),
        killed("fails at once, killed in the trial", fails(0.5, 0.0), 0.12),
    ]
}
