//! The route table in the replicated state, for any sequence of versions and snapshots.

use control::state_machine::Output;
use control::state_machine::StateMachine;
use prost::Message;
use quickcheck::TestResult;
use quickcheck::quickcheck;
use wire::hub::Table;
use wire::hub::TableOutcome;
use wire::hub::TableReply;
use wire::replica::Command;
use wire::replica::command::Kind;

/// Versions that tables get, so that equal ones and both ends of the range are frequent.
const VERSIONS: [u64; 5] = [0, 1, 2, u64::MAX - 1, u64::MAX];

fn apply(state: &mut StateMachine, table: Table) -> TableReply {
    let command = Command {
        now_ms: 0,
        kind: Some(Kind::Table(table)),
    };
    match state.apply(&command.encode_to_vec().into()) {
        Ok(Output::Table(reply)) => reply,
        other => panic!("{other:?}"),
    }
}

/// The outcome and the table held after `next` comes to a state that holds `held`.
fn expected(held: Option<&Table>, next: &Table) -> (TableOutcome, Table) {
    match held {
        None => (TableOutcome::Taken, next.clone()),
        Some(held) if next.version > held.version => (TableOutcome::Taken, next.clone()),
        Some(held) if next.version < held.version => (TableOutcome::Older, held.clone()),
        Some(held) if next.content == held.content => (TableOutcome::Held, held.clone()),
        Some(held) => (TableOutcome::Differs, held.clone()),
    }
}

quickcheck! {
    /// Guards against a table that is acknowledged and not kept, whatever its version, also by a
    /// replica that was restored from a snapshot in between.
    fn test_state_machine_newest_table_is_kept(tables: Vec<(u8, bool)>, restored: u8) -> TestResult {
        let mut state = StateMachine::default();
        let mut held: Option<Table> = None;
        for (step, (version, content)) in tables.into_iter().enumerate() {
            if step == usize::from(restored % 8) {
                let restored = StateMachine::restore(&state.snapshot());
                state = restored.expect("a valid snapshot");
            }
            let next = Table {
                version: VERSIONS[usize::from(version) % VERSIONS.len()],
                content: vec![u8::from(content)].into(),
                source: vec![7].into(),
            };
            let (outcome, kept) = expected(held.as_ref(), &next);
            let reply = apply(&mut state, next);
            assert_eq!((reply.outcome(), reply.version), (outcome, kept.version));
            assert_eq!(state.table().map(|table| &**table), Some(&kept));
            held = Some(kept);
        }
        TestResult::passed()
    }
}

/// Guards against a snapshot without a table that is read as one that holds an empty table.
#[test]
fn test_state_machine_without_table_is_restored_without_one() {
    let snapshot = StateMachine::default().snapshot();
    let state = StateMachine::restore(&snapshot).expect("a valid snapshot");
    assert_eq!(state.table(), None);
    let state = StateMachine::restore(&Vec::new().into()).expect("an empty state");
    assert_eq!(state.table(), None);
}
