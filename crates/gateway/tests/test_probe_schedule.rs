//! When services are looked at for probes, as plain values.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use gateway::probe_schedule::LOOK_PAUSE;
use gateway::probe_schedule::Rounds;
use gateway::probe_schedule::WORD_TIME;
use gateway::view::View;
use wire::catalogue::Catalogue;
use wire::catalogue::Class;
use wire::catalogue::Entry;
use wire::directory::Instance;
use wire::directory::InstanceChange;
use wire::directory::Phase;
use wire::directory::SyncReply;

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn announce(view: &View, id: &str) -> Arc<View> {
    let instance = Instance {
        service: "status".into(),
        id: id.into(),
        address: "127.0.0.1:1".into(),
        domain: "milano".into(),
        phase: Phase::Ready.into(),
        ..Instance::default()
    };
    let change = InstanceChange {
        instance: Some(instance),
        gone: false,
    };
    let entry = Entry {
        service: "status".into(),
        class: Class::Urgent.into(),
        ..Entry::default()
    };
    let reply = SyncReply {
        catalogue: Some(Catalogue {
            version: 1,
            entries: vec![entry],
            ..Catalogue::default()
        }),
        changes: vec![change],
        ..SyncReply::default()
    };
    Arc::new(view.after(at(0), reply))
}

/// What the meter says of the two instances, and when the next look is due.
struct Case {
    name: &'static str,
    words: [Option<u64>; 2],
    due: u64,
}

#[test]
fn test_rounds_wait_for_the_first_instance_that_may_be_probed() {
    let look = u64::try_from(LOOK_PAUSE.as_millis()).expect("short");
    let most = u64::try_from(WORD_TIME.as_millis()).expect("short");
    let cases = [
        Case {
            name: "both early",
            words: [Some(400), Some(300)],
            due: 300,
        },
        Case {
            name: "one may be probed",
            words: [Some(400), None],
            due: look,
        },
        Case {
            name: "sooner than the next look",
            words: [Some(7), None],
            due: 7,
        },
        Case {
            name: "so early that a share may rise before",
            words: [Some(90_000), Some(90_000)],
            due: most,
        },
    ];
    for case in cases {
        let view = announce(&announce(&View::default(), "i-0"), "i-1");
        let mut rounds = Rounds::default();
        rounds.update(&view);
        let (_, round) = rounds.due(at(0)).next().expect(case.name);
        for (index, word) in case.words.iter().enumerate() {
            let id = InstanceId::new(&format!("i-{index}")).expect("a name");
            if let Some(word) = word {
                round.deny(&id, at(*word), at(0));
            }
        }
        round.end(at(0));
        assert_eq!(round.due(), at(case.due), "{}", case.name);
        assert_eq!(rounds.next(at(0)), at(case.due.min(look)), "{}", case.name);
    }
}

#[test]
fn test_rounds_look_at_new_instances_at_once() {
    let view = announce(&View::default(), "i-0");
    let mut rounds = Rounds::default();
    rounds.update(&view);
    let (_, round) = rounds.due(at(0)).next().expect("new");
    let id = InstanceId::new("i-0").expect("a name");
    round.deny(&id, at(900), at(0));
    round.end(at(0));
    assert_eq!(rounds.due(at(10)).count(), 0);
    rounds.update(&announce(&view, "i-1"));
    let (_, round) = rounds.due(at(10)).next().expect("changed");
    assert!(!round.may_ask(&id, at(10)), "the word is kept");
    assert!(round.may_ask(&id, at(900)));
}
