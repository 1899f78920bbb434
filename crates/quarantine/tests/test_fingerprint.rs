//! Which requests are taken for the same.

use std::net::IpAddr;

use quarantine::Fingerprint;
use quarantine::Head;

const CALLER: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 9));

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
    let head = |last| {
        let caller = IpAddr::from([127, 0, 0, last]);
        Head::new(caller, "GET", "example.org", "/a")
    };
    assert_eq!(head(1), head(1));
    assert_ne!(head(1), head(2));
}
