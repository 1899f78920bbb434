//! Entry hosts named to a caller must be near it and bounded in number.

use place::nearest;
use wire::hub::EntryHost;

fn hosts(counts: [usize; 3]) -> Vec<EntryHost> {
    let domains = ["a", "b", "c"].into_iter().zip(counts);
    let host = |domain: &str, number: usize| EntryHost {
        address: format!("{domain}-{number}"),
        domain: domain.into(),
        region: if domain == "c" { "south" } else { "north" }.into(),
        ..EntryHost::default()
    };
    domains
        .flat_map(|(domain, count)| (0..count).map(move |number| host(domain, number)))
        .collect()
}

fn domains(named: &[String]) -> Vec<&str> {
    let mut domains: Vec<&str> = named.iter().map(|a| &a[..1]).collect();
    domains.dedup();
    domains
}

#[test]
fn test_near_names_all_of_the_callers_failure_domain() {
    let hosts = hosts([22, 22, 22]);
    let named = nearest(&hosts, "example.org", "b", "north", 3);
    assert_eq!(named.len(), 22);
    assert_eq!(domains(&named), ["b"]);
}

#[test]
fn test_near_names_others_where_the_failure_domain_has_few() {
    let hosts = hosts([1, 4, 4]);
    let named = nearest(&hosts, "example.org", "a", "north", 3);
    assert_eq!(named.len(), 3);
    // The host of its own domain, then those of its region.
    assert_eq!(domains(&named), ["a", "b"]);
    assert!(nearest(&[], "example.org", "a", "north", 3).is_empty());
}

#[test]
fn test_near_is_bounded() {
    let hosts = hosts([200, 0, 0]);
    assert_eq!(nearest(&hosts, "example.org", "a", "north", 3).len(), 64);
}
