//! Calls that a gate refuses as its table is newer than the one which admitted them.

use fuchsiashore::{
    call::{AttemptOutcome, CallOutcome, CallPlan, CallRules, CallStep, RefusalReason},
    clock::TimePoint,
    config::{CompiledTable, ConfigHead, Stamped, parse_tables},
    gate::{GateTable, ProxyCall, REDIRECT_GRACE_MS},
};

const NOW: TimePoint = TimePoint(1_000_000);
const TABLES: &str = "\
[route shop]
path = /stock/
pool = desk:90 trial:10

[route order]
path = /order/
methods = POST
pool = desk

[pool desk]
service = desk
version = v1

[pool trial]
service = trial
version = v1
";

fn plan() -> CallPlan {
    let mut plan = CallPlan::new(CallRules {
        repeatable: true,
        resendable: true,
        attempts: 3,
        deadline: NOW.after_ms(1_000),
    });
    plan.record_attempt("first".into(), NOW);
    plan
}

/// Guards against a second attempt at another target, whose older table may admit the call.
#[test]
fn call_that_a_newer_table_does_not_admit_is_refused_at_once() {
    let step = plan().after_last_attempt(AttemptOutcome::NotRun, RefusalReason::StaleTable);
    let refusal = CallStep::Refuse {
        outcome: CallOutcome::NotRun,
        reason: RefusalReason::StaleTable,
    };
    assert_eq!(step, refusal);
}

/// Guards against a 503, which says that the request has not run, after an attempt that may have run it.
#[test]
fn refusal_after_an_attempt_that_may_have_run_does_not_say_otherwise() {
    let mut plan = plan();
    plan.record_attempt("second".into(), NOW);
    let first = plan.after_last_attempt(AttemptOutcome::Broken, RefusalReason::StaleTable);
    assert_eq!(first, CallStep::Wait);
    let second = plan.after_last_attempt(AttemptOutcome::NotRun, RefusalReason::StaleTable);
    let refusal = CallStep::Refuse {
        outcome: CallOutcome::Unknown,
        reason: RefusalReason::Broken,
    };
    assert_eq!(second, refusal);
}

fn compile(version: u64, text: &str) -> CompiledTable {
    let tables = parse_tables(&[("tables.ini".into(), text.to_owned())]).unwrap();
    let mut head = ConfigHead {
        version,
        ..ConfigHead::default()
    };
    let stamp = 1;
    for (name, entry) in tables.routes {
        head.routes.insert(name, Stamped { stamp, entry });
    }
    for (name, entry) in tables.pools {
        head.pools.insert(name, Stamped { stamp, entry });
    }
    CompiledTable::compile(&head).unwrap()
}

/// Guards against a gate that runs a call of an older table on a route which its own lacks, and against one that refuses what
/// the proxy knows better, or what changes everywhere within a moment.
#[test]
fn gate_refuses_only_what_its_newer_table_does_not_admit() {
    let table = compile(7, TABLES);
    let calls = [
        ("kept", 6, "desk", "/stock/x"),
        ("kept, the other pool", 6, "trial", "/stock/x"),
        ("to a pool that the route has no more", 6, "gone", "/stock/x"),
        ("method that the route has no more", 6, "desk", "/order/x"),
        ("dropped", 6, "desk", "/dropped/x"),
        ("dropped, the same table", 7, "desk", "/dropped/x"),
        ("dropped, a newer table", 8, "desk", "/dropped/x"),
        ("dropped, an earlier build", 0, "desk", "/dropped/x"),
    ];
    let mut seen = Vec::new();
    for (name, table_version, pool, path) in calls {
        let call = ProxyCall {
            table_version,
            pool,
            host: "",
            method: "GET",
            path,
        };
        let check = |service, now| {
            let table = GateTable {
                table: &table,
                since: NOW,
                service,
            };
            match table.check_route(&call, now) {
                Ok(()) => "runs",
                Err(refusal) => refusal.as_str(),
            }
        };
        let last_moment = NOW.after_ms(REDIRECT_GRACE_MS - 1);
        let end = NOW.after_ms(REDIRECT_GRACE_MS);
        let service = if pool == "trial" { "trial" } else { "desk" };
        seen.push((
            name,
            check(service, last_moment),
            check(service, end),
            check("other", end),
        ));
    }
    insta::assert_debug_snapshot!(seen);
}
