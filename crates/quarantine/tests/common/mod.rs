//! Requests, moments and crashes by name and number.

use std::net::IpAddr;

use base::prelude::*;
use quarantine::Crash;
use quarantine::Fingerprint;
use quarantine::Head;
use quarantine::Life;

pub fn request(name: &str) -> Fingerprint {
    let caller = IpAddr::from([127, 0, 0, 1]);
    Fingerprint::new(Head::new(caller, "GET", "example.org", name), [])
}

pub fn at(seconds: u64) -> Moment {
    Moment::from_millis(1_000_000 + seconds * 1_000)
}

pub fn crash(name: &str, instance: u64, seconds: u64) -> Crash {
    Crash {
        request: request(name),
        service: ServiceName::new("status").expect("a name"),
        life: Life {
            instance: InstanceId::new(&format!("i-{instance}")).expect("a name"),
            incarnation: 0,
        },
        at: at(seconds),
    }
}
