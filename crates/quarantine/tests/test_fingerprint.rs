//! Which requests are taken for the same.

use quarantine::Fingerprint;
use quarantine::Head;

const CALLER: &str = "caller";

fn print(head: [&str; 3], body: &[&[u8]]) -> Fingerprint {
    let [method, host, target] = head;
    let head = Head::new(CALLER, method, host, target);
    Fingerprint::new(head, body.iter().copied())
}

#[test]
fn test_fingerprint_body_counts_however_it_is_cut() {
    let head = ["POST", "example.org", "/a?b=c"];
    let whole = print(head, &[b"the body"]);
    assert_eq!(whole, print(head, &[b"the", b" ", b"body"]));
    assert_ne!(whole, print(head, &[b"the bod"]));
}

#[test]
fn test_fingerprint_each_part_of_the_head_counts() {
    let of = |head| print(head, &[]);
    let all = of(["GET", "example.org", "/a"]);
    assert_ne!(all, of(["PUT", "example.org", "/a"]));
    assert_ne!(all, of(["GET", "example.com", "/a"]));
    assert_ne!(all, of(["GET", "example.org", "/a?b"]));
    assert_ne!(all, of(["GET", "example.org/", "a"]));
}

#[test]
fn test_fingerprint_of_another_caller_is_another() {
    let head = |caller| Head::new(caller, "GET", "example.org", "/a");
    assert_eq!(head("a"), head("a"));
    assert_ne!(head("a"), head("b"));
    assert_eq!(head("a").path, head("b").path);
}

/// A caller comes again from another address, or with another query.
#[test]
fn test_fingerprint_of_all_senders_is_of_host_path_and_body() {
    let of = |head| print(head, &[b"body"]).of_all();
    let all = of(["GET", "example.org", "/a?b=c"]);
    assert_eq!(all, of(["PUT", "example.org", "/a"]));
    assert_ne!(all, of(["GET", "example.org", "/b?b=c"]));
    assert_ne!(all, of(["GET", "example.com", "/a?b=c"]));
    let other = print(["GET", "example.org", "/a?b=c"], &[b"other"]);
    assert_ne!(all, other.of_all());
}
