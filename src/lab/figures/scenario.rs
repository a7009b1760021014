//! The versions and conditions that moves are judged under.

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
    /// Calls a second of the pool.
    pub rate: f64,
    /// Share of calls that fails on both versions at all times.
    pub noise: f64,
    /// Whether bursts of failures hit both versions: a fifth of all calls for 10 s in every minute.
    pub has_bursts: bool,
    /// Whether the store is down for every second minute.
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
}

/// Returns all rows.
pub fn all_scenarios() -> Vec<MoveScenario> {
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
