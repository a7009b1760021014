//! Evacuations as the head, deltas, edits, snapshots and the gate carry them.

use {
    fuchsiashore::{
        clock::TimePoint,
        codec,
        config::{
            CompiledTable, ConfigHead, EditError, EditRequest, HeadDelta, HeadEdit, HeadTail, TableEdit,
            apply_edit,
        },
        daemon::{ControlReply, TrafficSnapshot, decode_envelope, encode_envelope},
        evacuation::{EvacuationChange, EvacuationEdit, EvacuationOrders},
        gate::{DequeueOutcome, GateArrival, GateRefusal, GateState},
        member::{MemberRecord, MemberStatus, TargetRecord, TargetStatus},
        spread::ConfigReply,
        timeline::HybridStamp,
    },
    std::{net::SocketAddr, sync::Arc},
};

const NOW: TimePoint = TimePoint(1_000_000);

fn head(version: u64, evacuated: &[&str]) -> ConfigHead {
    let mut evacuations = EvacuationOrders::default();
    for name in evacuated {
        evacuations.order(&Arc::from(*name), version);
    }
    let head = ConfigHead {
        version,
        tail: HeadTail {
            evacuations,
            ..HeadTail::default()
        },
        ..ConfigHead::default()
    };
    head.with_digest().unwrap()
}

fn request(data_centre: &str, is_back: bool) -> EditRequest {
    EditRequest {
        change_id: format!("{data_centre}-{is_back}").into(),
        base_version: None,
        author: "operator".into(),
        message: "power works".into(),
        at: NOW,
        edit: TableEdit::Evacuate(EvacuationEdit {
            data_centre: data_centre.into(),
            is_back,
        }),
    }
}

fn edited(head: &ConfigHead, request: &EditRequest) -> ConfigHead {
    match apply_edit(head, request).unwrap() {
        HeadEdit::Next(edit) => edit.head,
        HeadEdit::Present { version } => panic!("present as version {version}"),
    }
}

#[test]
fn edits_evacuate_and_take_back() {
    let evacuated = edited(&head(1, &[]), &request("fra-2", false));
    assert!(evacuated.tail.evacuations.contains("fra-2"));
    let repeated = EditRequest {
        change_id: "again".into(),
        ..request("fra-2", false)
    };
    assert_eq!(
        apply_edit(&evacuated, &repeated).unwrap_err(),
        EditError::NothingChanged
    );
    let back = edited(&evacuated, &request("fra-2", true));
    assert!(back.tail.evacuations.is_empty());
    assert_eq!((evacuated.version, back.version), (2, 3));
}

#[test]
fn deltas_carry_evacuations_and_their_ends() {
    let [base, evacuated, back] = [head(1, &[]), head(2, &["b", "c"]), head(3, &["c"])];
    for (from, to) in [(&base, &evacuated), (&evacuated, &back)] {
        let delta = HeadDelta::between(from.version, from.digest, to).unwrap();
        assert_eq!(delta.apply(from).unwrap(), *to);
    }
}

/// Guards against a reply without field names, in which a field stands for the one that is left out before it.
#[test]
fn replies_carry_evacuations() {
    let [base, evacuated] = [head(1, &[]), head(2, &["b"])];
    let delta = HeadDelta::between(base.version, base.digest, &evacuated).unwrap();
    let replies = [
        ConfigReply::Whole(Box::new(evacuated)),
        ConfigReply::Whole(Box::new(base)),
        ConfigReply::Delta(Box::new(delta)),
    ];
    let mesh = Arc::from("mesh");
    for reply in replies {
        let reply = ControlReply::Config(reply);
        let bytes = encode_envelope(&mesh, HybridStamp::default(), reply.clone()).unwrap();
        assert_eq!(
            decode_envelope::<ControlReply>(&mesh, &bytes).unwrap().body,
            reply
        );
    }
}

#[test]
fn head_without_evacuations_keeps_its_encoding() {
    let bytes = codec::encode(&head(1, &[])).unwrap();
    let name = b"evacuations";
    assert!(!bytes.windows(name.len()).any(|part| part == name));
}

#[test]
fn changes_between_two_lists_are_told_apart() {
    let former = head(1, &["a", "b"]).tail.evacuations;
    let mut latest = head(1, &["a"]).tail.evacuations;
    latest.order(&Arc::from("c"), 2);
    let changes = latest.changes_since(&former);
    let expected = [
        (Arc::from("c"), EvacuationChange::Ordered),
        (Arc::from("b"), EvacuationChange::TakenBack),
    ];
    assert_eq!(changes, expected);
    assert!(latest.changes_since(&latest.clone()).is_empty());
}

fn member(name: &str, data_centre: &str) -> MemberRecord {
    let address = SocketAddr::from(([10, 0, 0, 1], 7000));
    MemberRecord {
        name: name.into(),
        incarnation: 1,
        status: MemberStatus::Alive,
        control: address,
        gate: address,
        operators: address,
        region: "r".into(),
        data_centre: data_centre.into(),
        target: TargetRecord {
            id: format!("i-{name}").into(),
            born: 1,
            service: "stock".into(),
            version: "v1".into(),
            slots: 4,
            status: TargetStatus::Serving,
        },
        applied: 1,
    }
}

#[test]
fn proxies_choose_no_target_of_an_evacuated_data_centre() {
    let members = [member("one", "a"), member("two", "b"), member("three", "b")];
    let targets = |evacuated: &[&str]| {
        let table = CompiledTable::compile(&head(1, evacuated)).unwrap();
        let snapshot =
            TrafficSnapshot::new((Some(Arc::new(table)), TimePoint::default()), members.iter(), "b");
        let targets = snapshot.targets_of("stock", "v1", "");
        targets.map(|target| target.name.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(targets(&[]), ["one", "two", "three"]);
    assert_eq!(targets(&["b"]), ["one"]);
    assert_eq!(targets(&["a", "b"]), [""; 0]);
}

/// Load: a full gate with a queue at the moment of the order.
#[test]
fn queued_calls_are_refused_at_once_and_running_ones_go_on() {
    let mut gate = GateState::new(1, 8);
    gate.reopen(1, NOW);
    for _ in 0..3 {
        let arrival = GateArrival {
            route: "stock".into(),
            priority: 1,
            useful_until: NOW.after_ms(5_000),
            deadline: NOW.after_ms(9_000),
            start_by: TimePoint::FAR_FUTURE,
            is_nested: false,
        };
        gate.arrive(arrival, NOW);
    }
    let outcomes = gate.evacuate();
    let is_refused =
        |outcome: &DequeueOutcome| matches!(outcome, DequeueOutcome::Refuse(_, GateRefusal::Evacuated));
    assert!(
        outcomes.len() == 2 && outcomes.iter().all(is_refused),
        "{outcomes:?}"
    );
    assert_eq!((gate.in_flight(), gate.waiting()), (1, 0));
}

#[test]
fn every_refusal_of_a_gate_is_read_back() {
    let refusal = GateRefusal::Evacuated;
    assert_eq!(GateRefusal::parse(refusal.as_str()), Some(refusal));
}
