//! Guards against probe checks that are late or needlessly frequent.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use gateway::probe_schedule::CHECK_INTERVAL;
use gateway::probe_schedule::MAX_DENIAL_TIME;
use gateway::probe_schedule::ProbeSchedule;
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

fn view_with_instance(view: &View, id: &str) -> Arc<View> {
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
    Arc::new(view.updated(at(0), reply))
}

/// Times before which the limiter denies two instances, and when the next check is due.
struct Case {
    name: &'static str,
    denied_until: [Option<u64>; 2],
    next_check: u64,
}

#[test]
fn test_probe_schedule_waits_for_first_allowed_probe() {
    let check_interval = u64::try_from(CHECK_INTERVAL.as_millis()).expect("short");
    let max_denial = u64::try_from(MAX_DENIAL_TIME.as_millis()).expect("short");
    let cases = [
        Case {
            name: "both early",
            denied_until: [Some(400), Some(300)],
            next_check: 300,
        },
        Case {
            name: "one may be probed",
            denied_until: [Some(400), None],
            next_check: check_interval,
        },
        Case {
            name: "sooner than the next check",
            denied_until: [Some(7), None],
            next_check: 7,
        },
        Case {
            name: "denial longer than its maximum time",
            denied_until: [Some(90_000), Some(90_000)],
            next_check: max_denial,
        },
    ];
    for case in cases {
        let view = view_with_instance(&view_with_instance(&View::default(), "i-0"), "i-1");
        let mut schedule = ProbeSchedule::default();
        schedule.update(&view);
        let (_, service_schedule) = schedule.overdue(at(0)).next().expect(case.name);
        for (index, denied) in case.denied_until.iter().enumerate() {
            let id = InstanceId::new(&format!("i-{index}")).expect("a name");
            if let Some(denied) = denied {
                service_schedule.deny(&id, at(*denied), at(0));
            }
        }
        service_schedule.finish_check(at(0));
        assert_eq!(
            service_schedule.next_check(),
            at(case.next_check),
            "{}",
            case.name
        );
        assert_eq!(
            schedule.next_check(at(0)),
            at(case.next_check.min(check_interval)),
            "{}",
            case.name
        );
    }
}

#[test]
fn test_probe_schedule_checks_new_instances_at_once() {
    let view = view_with_instance(&View::default(), "i-0");
    let mut schedule = ProbeSchedule::default();
    schedule.update(&view);
    let (_, service_schedule) = schedule.overdue(at(0)).next().expect("new");
    let id = InstanceId::new("i-0").expect("a name");
    service_schedule.deny(&id, at(900), at(0));
    service_schedule.finish_check(at(0));
    assert_eq!(schedule.overdue(at(10)).count(), 0);
    schedule.update(&view_with_instance(&view, "i-1"));
    let (_, service_schedule) = schedule.overdue(at(10)).next().expect("changed");
    assert!(
        !service_schedule.may_probe(&id, at(10)),
        "the denial is retained"
    );
    assert!(service_schedule.may_probe(&id, at(900)));
}
