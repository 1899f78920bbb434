//! Constructors of requests, times and crashes.

use base::prelude::*;
use quarantine::Crash;
use quarantine::Fingerprint;
use quarantine::Head;

pub fn head(name: &str) -> Head {
    Head::new("caller", "GET", "example.org", name)
}

pub fn request(name: &str) -> Fingerprint {
    Fingerprint::new(head(name), [])
}

/// The same request of the given sender.
pub fn request_of(name: &str, caller: u8) -> Fingerprint {
    Fingerprint::new(
        Head::new(&caller.to_string(), "GET", "example.org", name),
        [],
    )
}

pub fn at(seconds: u64) -> Moment {
    Moment::from_millis(1_000_000 + seconds * 1_000)
}

pub fn crash(name: &str, instance: u64, seconds: u64) -> Crash {
    Crash {
        request: request(name),
        service: ServiceName::new("status").expect("a valid name"),
        run: InstanceRun {
            instance: InstanceId::new(&format!("i-{instance}")).expect("a valid name"),
            incarnation: 0,
        },
        at: at(seconds),
        answered: false,
    }
}
