//! Data lost or changed by a conversion to the wire or disk form and back.

use std::collections::BTreeSet;

use base::prelude::*;
use consensus::Acceptance;
use consensus::Body;
use consensus::Config;
use consensus::Entry;
use consensus::Index;
use consensus::Member;
use consensus::Message;
use consensus::Payload;
use consensus::Position;
use consensus::ReplicaId;
use consensus::Snapshot;
use consensus::Term;
use consensus::Ticket;
use control::convert;
use control::convert::message;

fn member(id: u64) -> Member {
    Member {
        id: ReplicaId(id),
        address: format!("127.0.0.1:{id}").parse().expect("address"),
        domain: DomainName::new("milano").expect("name"),
        region: RegionName::new("north-west").expect("name"),
    }
}

fn config() -> Config {
    let mut config = Config::of_voters([member(1), member(2)], Acceptance::EveryRegion);
    config.learners.insert(ReplicaId(3), member(3));
    config.evicted = BTreeSet::from([RegionName::new("pos").expect("name")]);
    config
}

fn position() -> Position {
    Position {
        term: Term(4),
        index: Index(9),
    }
}

fn entries() -> Vec<Entry> {
    [
        Payload::Noop,
        Payload::Data("command".into()),
        Payload::Config(config()),
    ]
    .into_iter()
    .zip(10..)
    .map(|(payload, index)| Entry {
        term: Term(4),
        index: Index(index),
        payload,
    })
    .collect()
}

#[test]
fn test_convert_messages_come_back_the_same() {
    let last = position();
    let bodies = [
        Body::PreVote { last },
        Body::Campaigning { last },
        Body::PreVoteReply { granted: true },
        Body::Vote {
            last,
            transfer: true,
        },
        Body::VoteReply { granted: true },
        Body::Append {
            previous: last,
            entries: entries(),
            commit: Index(8),
        },
        Body::Accepted { matched: Index(12) },
        Body::Refused {
            previous: Index(9),
            hint: Index(7),
        },
        Body::Heartbeat {
            commit: Index(8),
            round: 3,
        },
        Body::HeartbeatReply { round: 3 },
        Body::Chunk {
            position: last,
            config: config(),
            total: 100,
            offset: 40,
            data: "part".into(),
        },
        Body::ChunkReply {
            position: last,
            received: 44,
        },
        Body::CampaignNow,
        Body::ReadAsk { ticket: Ticket(5) },
        Body::ReadAnswer {
            ticket: Ticket(5),
            index: Index(8),
        },
    ];
    for body in bodies {
        let sent = Message {
            from: ReplicaId(1),
            to: ReplicaId(2),
            term: Term(4),
            body,
        };
        let converted = message::from_wire(&message::to_wire(&sent)).expect("reads");
        assert_eq!(converted, sent);
    }
}

#[test]
fn test_convert_snapshots_come_back_the_same() {
    let snapshot = Snapshot {
        position: position(),
        config: config(),
        data: "state".into(),
    };
    let converted = convert::snapshot(&convert::snapshot_to_wire(&snapshot)).expect("reads");
    assert_eq!(converted, snapshot);
}

#[test]
fn test_convert_malformed_messages_are_refused() {
    let good = message::to_wire(&Message {
        from: ReplicaId(1),
        to: ReplicaId(2),
        term: Term(4),
        body: Body::Append {
            previous: position(),
            entries: entries(),
            commit: Index(8),
        },
    });
    let mut without_body = good.clone();
    without_body.body = None;
    let mut without_previous = good.clone();
    let mut unknown_kind = good.clone();
    let mut broken_group = good;
    for (message, change) in [
        (&mut without_previous, 0),
        (&mut unknown_kind, 1),
        (&mut broken_group, 2),
    ] {
        let Some(wire::replica::message::Body::Append(append)) = &mut message.body else {
            panic!("an append");
        };
        match change {
            0 => append.previous = None,
            1 => append.entries[0].kind = 99,
            _ => append.entries[2].data = "no group".into(),
        }
    }
    for (name, bad) in [
        ("no body", without_body),
        ("no previous", without_previous),
        ("unknown kind", unknown_kind),
        ("broken group", broken_group),
    ] {
        assert!(message::from_wire(&bad).is_err(), "{name}");
    }
}
