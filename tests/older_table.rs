//! Calls that a gate refuses as its table is newer than the one which admitted them.

use fuchsiashore::{
    call::{AttemptOutcome, CallOutcome, CallPlan, CallRules, CallStep, RefusalReason},
    clock::TimePoint,
    config::{CompiledTable, ConfigHead, RouteMatch, Stamped, parse_tables},
};

const NOW: TimePoint = TimePoint(1_000_000);
const TABLES: &str = "\
[route shop]
path = /stock/
pool = desk:90 trial:10

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

/// Guards against a gate that takes a call for a pool which is one of another service by its table.
#[test]
fn route_leads_to_its_pools_at_their_services_only() {
    let tables = parse_tables(&[("tables.ini".into(), TABLES.to_owned())]).unwrap();
    let mut head = ConfigHead {
        version: 1,
        ..ConfigHead::default()
    };
    let stamp = 1;
    for (name, entry) in tables.routes {
        head.routes.insert(name, Stamped { stamp, entry });
    }
    for (name, entry) in tables.pools {
        head.pools.insert(name, Stamped { stamp, entry });
    }
    let table = CompiledTable::compile(&head).unwrap();
    let RouteMatch::Found(route) = table.find("", "GET", "/stock/x") else {
        panic!("the route was not found");
    };
    let cases = [
        ("desk", "desk"),
        ("trial", "trial"),
        ("desk", "trial"),
        ("absent", "desk"),
    ];
    let led = cases.map(|(pool, service)| route.leads_to(pool, service));
    assert_eq!(led, [true, true, false, false]);
}
