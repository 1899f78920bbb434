//! Guards against confirmations that are accepted although they prove nothing.

use std::time::Duration;

use base::prelude::*;
use gateway::view::View;
use wire::catalogue::Catalogue;
use wire::directory::SyncReply;

const LEASE: Duration = Duration::from_secs(3);

fn reply(age_ms: u32) -> SyncReply {
    SyncReply {
        catalogue: Some(Catalogue {
            version: 4,
            ..Catalogue::default()
        }),
        confirmed: 4,
        confirmed_age_ms: age_ms,
        ..SyncReply::default()
    }
}

/// A confirmation, and whether the gateway is fenced with it.
struct Case {
    name: &'static str,
    sent_ms: u64,
    age_ms: u32,
    fenced: bool,
}

/// A previous process may have used version 5, accepted after version 4 was confirmed,
/// so only a confirmation from after the start shows that version 4 is current.
#[test]
fn test_view_takes_no_confirmation_from_before_the_start() {
    let cases = [
        Case {
            name: "from before the start",
            sent_ms: 1_000,
            age_ms: 2_500,
            fenced: true,
        },
        Case {
            name: "from just before the start",
            sent_ms: 1_000,
            age_ms: 1_001,
            fenced: true,
        },
        Case {
            name: "from the start",
            sent_ms: 1_000,
            age_ms: 1_000,
            fenced: false,
        },
        Case {
            name: "later",
            sent_ms: 4_000,
            age_ms: 2_500,
            fenced: false,
        },
    ];
    for case in cases {
        let sent_at = Moment::from_millis(case.sent_ms);
        let view = View::default().updated(sent_at, reply(case.age_ms));
        assert_eq!(view.version(), 4, "{}", case.name);
        assert_eq!(view.is_fenced(sent_at, LEASE), case.fenced, "{}", case.name);
    }
}
