//! The settings of keys.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use conf::Reader;
use entry::Settings;
use entry::settings::Keys;

fn read(text: &str) -> Result<Settings, String> {
    let reader = Reader::parse("entry.ini", text).expect("INI");
    Settings::read(reader).map_err(|err| err.to_string())
}

fn local() -> Settings {
    let front = SocketAddr::from(([127, 0, 0, 1], 7080));
    let host = HostName::new("entry-1").expect("a name");
    let domain = DomainName::new("a").expect("a name");
    Settings::local(host, domain, front)
}

/// Guards against a printed file that is read as other settings, and against defaults that refuse.
#[test]
fn test_settings_of_keys_are_read_as_printed() {
    let defaults = Keys {
        fail_closed: false,
        confirm: Duration::from_secs(5),
    };
    assert_eq!(local().keys, defaults);
    for keys in [
        defaults,
        Keys {
            fail_closed: true,
            confirm: Duration::from_millis(1_500),
        },
    ] {
        let printed = Settings { keys, ..local() };
        assert_eq!(read(&printed.to_string()), Ok(printed));
    }
}

/// Guards against settings that would refuse everything, or close nothing although asked to.
#[test]
fn test_settings_of_keys_name_faults() {
    let printed = local().to_string();
    for (from, to, key) in [
        ("confirm = 5s", "confirm = 0s", "confirm"),
        ("confirm = 5s", "confirm = soon", "confirm"),
        ("fail-closed = no", "fail-closed = true", "fail-closed"),
    ] {
        let faults = read(&printed.replace(from, to)).expect_err(to);
        assert!(faults.contains(key), "{key} in {faults}");
    }
}
