//! Loads that are played: kinds of call that come together.

/// Kind of call of a load.
#[derive(Debug, Clone, Copy)]
pub struct CallKind {
    /// Name of its route.
    pub route: &'static str,
    /// Number of the service that runs it.
    pub service: usize,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Mean time of a run, in milliseconds.
    pub run_ms: f64,
    /// Time within which an answer is useful, in milliseconds.
    pub useful_ms: u64,
    /// Time after which a call is given up, in milliseconds.
    pub deadline_ms: u64,
    /// Share of the callers' calls; 0 for calls that only runs make.
    pub share: f64,
    /// Kind of the call that each run makes, by its place in the load.
    pub inner: Option<usize>,
    /// Whether a refused caller comes back once.
    pub comes_back: bool,
}

/// A load: the kinds of call that come together.
#[derive(Debug, Clone)]
pub struct LoadPattern {
    /// Name in the table.
    pub name: &'static str,
    /// Kinds of call.
    pub kinds: Vec<CallKind>,
}

/// Loads that are played.
pub fn load_patterns() -> Vec<LoadPattern> {
    let call = |route, priority, run_ms, useful_ms, share| CallKind {
        route,
        service: 0,
        priority,
        run_ms,
        useful_ms,
        deadline_ms: useful_ms * 5 / 2,
        share,
        inner: None,
        comes_back: false,
    };
    vec![
        LoadPattern {
            name: "short beside long",
            kinds: vec![call("short", 1, 15.0, 60, 0.6), call("long", 1, 150.0, 400, 0.4)],
        },
        LoadPattern {
            name: "urgent behind less urgent",
            kinds: vec![
                call("urgent", 0, 80.0, 250, 0.3),
                call("less urgent", 2, 150.0, 400, 0.7),
            ],
        },
        LoadPattern {
            name: "runs that call",
            kinds: vec![
                CallKind {
                    inner: Some(2),
                    ..call("parent", 1, 80.0, 250, 0.4)
                },
                CallKind {
                    service: 1,
                    ..call("beside", 2, 150.0, 400, 0.6)
                },
                CallKind {
                    service: 1,
                    ..call("inner", 0, 15.0, 60, 0.0)
                },
            ],
        },
        LoadPattern {
            name: "runs that call among equals",
            kinds: vec![
                CallKind {
                    inner: Some(2),
                    ..call("parent", 1, 80.0, 400, 0.7)
                },
                CallKind {
                    service: 1,
                    ..call("beside", 1, 100.0, 500, 0.3)
                },
                CallKind {
                    service: 1,
                    ..call("inner", 1, 25.0, 100, 0.0)
                },
            ],
        },
        LoadPattern {
            name: "refused and come back",
            kinds: vec![
                CallKind {
                    comes_back: true,
                    ..call("urgent", 0, 80.0, 600, 0.5)
                },
                CallKind {
                    comes_back: true,
                    ..call("less urgent", 2, 80.0, 600, 0.5)
                },
            ],
        },
    ]
}
