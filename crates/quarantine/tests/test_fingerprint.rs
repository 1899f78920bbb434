//! Which requests have the same fingerprint.

use quarantine::Fingerprint;
use quarantine::Head;

const CALLER: &str = "caller";

fn fingerprint(head: [&str; 3], body: &[&[u8]]) -> Fingerprint {
    let [method, host, target] = head;
    let head = Head::new(CALLER, method, host, target);
    Fingerprint::new(head, body.iter().copied())
}

#[test]
fn test_fingerprint_depends_on_body_but_not_on_its_parts() {
    let head = ["POST", "example.org", "/a?b=c"];
    let whole = fingerprint(head, &[b"the body"]);
    assert_eq!(whole, fingerprint(head, &[b"the", b" ", b"body"]));
    assert_ne!(whole, fingerprint(head, &[b"the bod"]));
}

#[test]
fn test_fingerprint_depends_on_each_part_of_the_head() {
    let of = |head| fingerprint(head, &[]);
    let all = of(["GET", "example.org", "/a"]);
    assert_ne!(all, of(["PUT", "example.org", "/a"]));
    assert_ne!(all, of(["GET", "example.com", "/a"]));
    assert_ne!(all, of(["GET", "example.org", "/a?b"]));
    assert_ne!(all, of(["GET", "example.org/", "a"]));
}

#[test]
fn test_fingerprint_depends_on_caller() {
    let head = |caller| Head::new(caller, "GET", "example.org", "/a");
    assert_eq!(head("a"), head("a"));
    assert_ne!(head("a"), head("b"));
    assert_eq!(head("a").path, head("b").path);
}

/// Guards against missing a request that returns from another address or with another query.
#[test]
fn test_fingerprint_for_all_senders_depends_on_host_path_and_body() {
    let of = |head| fingerprint(head, &[b"body"]).for_all_senders();
    let all = of(["GET", "example.org", "/a?b=c"]);
    assert_eq!(all, of(["PUT", "example.org", "/a"]));
    assert_ne!(all, of(["GET", "example.org", "/b?b=c"]));
    assert_ne!(all, of(["GET", "example.com", "/a?b=c"]));
    let other = fingerprint(["GET", "example.org", "/a?b=c"], &[b"other"]);
    assert_ne!(all, other.for_all_senders());
}
