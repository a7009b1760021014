//! The versions and conditions that moves are judged under.

use crate::moves::MIN_MOVE_MS;

/// Length of a long move, in milliseconds.
const LONG_MOVE_MS: u64 = 600_000;
/// Time for which the old version served before a long move and before a short one, in milliseconds.
const HISTORY_MS: (u64, u64) = (300_000, 4_000);
/// Cycle of bursts of failures and length of one, for long moves and for short ones, in milliseconds.
const BURST_MS: [(u64, u64); 2] = [(60_000, 10_000), (8_000, 3_000)];
/// Lengths of short moves, in milliseconds: the users' orders last 12 to 16 s.
const SHORT_MOVES_MS: [u64; 3] = [12_000, 14_000, 16_000];

/// What is wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum VersionFault {
    /// Nothing.
    None,
    /// A share of the calls fails from a moment on, in seconds after the start of the move.
    Fails {
        /// Share of failing calls.
        share: f64,
        /// When it begins.
        from_s: f64,
    },
    /// Calls take longer by a factor from a moment on.
    Slow {
        /// Factor on the latency.
        factor: f64,
        /// When it begins.
        from_s: f64,
    },
    /// A share of the calls fails while the version gets at least a share of the traffic.
    FailsUnderLoad {
        /// Share of failing calls.
        share: f64,
        /// Traffic share at which it begins.
        from_share: f64,
    },
    /// A share of the calls of the rarer route fails.
    FailsOnRoute {
        /// Share of failing calls.
        share: f64,
    },
}

/// One row of the table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MoveScenario {
    /// Name of the row.
    pub name: &'static str,
    /// What is wrong with the new version.
    pub fault: VersionFault,
    /// Length of the move, in milliseconds.
    pub move_ms: u64,
    /// Calls a second of the pool.
    pub rate: f64,
    /// Share of calls that fails on both versions at all times.
    pub noise: f64,
    /// Whether bursts of failures hit both versions: a fifth of all calls for a part of each cycle.
    pub has_bursts: bool,
    /// Whether the store is down for every second tenth of the move.
    pub has_store_outages: bool,
    /// When the controller's daemon is killed, in seconds after the start.
    pub controller_dies_s: Option<f64>,
    /// For how long the controller is frozen from that moment instead, in seconds.
    pub controller_pauses_s: Option<f64>,
    /// Whether the targets of the new version are slow for their first seconds.
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
            controller_dies_s: None,
            controller_pauses_s: None,
            has_cold_start: false,
        }
    }

    /// Tells whether the version is good.
    pub fn is_good(&self) -> bool {
        self.fault == VersionFault::None
    }

    /// Returns the name of the row, with the length of a short move.
    pub fn label(&self) -> String {
        if self.is_short() {
            format!("{}, {} s", self.name, self.move_ms / 1_000)
        } else {
            self.name.to_owned()
        }
    }

    /// Tells whether the move is a short one.
    pub fn is_short(&self) -> bool {
        self.move_ms < MIN_MOVE_MS
    }

    /// Returns for how long the old version served before the move, in milliseconds.
    pub(super) fn history_ms(&self) -> u64 {
        if self.is_short() {
            HISTORY_MS.1
        } else {
            HISTORY_MS.0
        }
    }

    /// Returns the cycle of bursts and the length of one, in milliseconds.
    pub(super) fn burst_ms(&self) -> (u64, u64) {
        BURST_MS[usize::from(self.is_short())]
    }
}

/// Returns the rows of long moves.
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
            controller_dies_s: Some(250.0),
            ..base("good, controller killed", None)
        },
        MoveScenario {
            controller_dies_s: Some(250.0),
            controller_pauses_s: Some(20.0),
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
            controller_dies_s: Some(400.0),
            ..base("fails late, controller killed then", late)
        },
        MoveScenario {
            controller_dies_s: Some(399.0),
            controller_pauses_s: Some(20.0),
            ..base("fails late, controller paused then", late)
        },
    ]
}

/// Returns the rows of short moves: every condition at each length. The rates, the noise and the shares of bad calls are
/// those that the users' days show.
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
    let killed = |name, fault, part: f64| MoveScenario {
        // A step of the trial's clock, in which the kill must fall.
        controller_dies_s: Some((move_ms as f64 * part / 500.0).round() / 2.0),
        ..base(name, fault)
    };
    let fails = |share, part: f64| Fails {
        share,
        from_s: move_ms as f64 * part / 1e3,
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
