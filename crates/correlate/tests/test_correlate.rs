//! A response proves something of a request only if it names that request.

use correlate::Cause;
use correlate::Owner;
use correlate::Verdict;
use correlate::judge;
use http::StatusCode;

const SENT: &[u8] = b"a1";

fn owner(named: &[&'static str]) -> Owner {
    Owner::of(SENT, named.iter().map(|id| id.as_bytes()))
}

#[test]
fn test_owner_is_read_from_every_id_of_a_response() {
    let cases: [(&[&str], Owner); 6] = [
        (&["a1"], Owner::Sent),
        (&["a1", "a1"], Owner::Sent),
        (&["b2"], Owner::Other),
        (&["a1", "b2"], Owner::Other),
        (&["A1"], Owner::Other),
        (&[], Owner::Unnamed),
    ];
    for (named, expected) in cases {
        assert_eq!(owner(named), expected, "{named:?}");
    }
}

#[test]
fn test_refusal_that_names_another_request_or_none_proves_nothing() {
    for named in [&["b2"][..], &[][..], &["a1", "b2"][..]] {
        for status in [200, 400, 408, 421, 429, 500, 503] {
            let status = StatusCode::from_u16(status).expect("a status");
            for refused in [false, true] {
                let verdict = judge(owner(named), status, refused);
                assert!(
                    matches!(verdict, Verdict::Foreign(_)),
                    "{named:?} {status} {refused}: {verdict:?}"
                );
            }
        }
    }
}

#[test]
fn test_refusal_of_the_sent_request_proves_that_it_has_not_run() {
    let cases = [
        (503, true, Some(Cause::Refused)),
        (429, true, Some(Cause::Refused)),
        (400, true, Some(Cause::Refused)),
        (421, true, Some(Cause::OtherInstance)),
        (421, false, Some(Cause::OtherInstance)),
        (503, false, None),
        (500, false, None),
        (200, false, None),
    ];
    for (status, refused, expected) in cases {
        let status = StatusCode::from_u16(status).expect("a status");
        let cause = match judge(Owner::Sent, status, refused) {
            Verdict::NotRun(proof) => Some(proof.cause()),
            Verdict::Answered => None,
            Verdict::Foreign(owner) => panic!("{status}: {owner:?}"),
        };
        assert_eq!(cause, expected, "{status} {refused}");
    }
}
