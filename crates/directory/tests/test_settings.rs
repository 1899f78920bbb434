//! Invalid settings must all be reported at once, and printed settings must parse again.

use conf::Reader;
use directory::Settings;

const GOOD: &str = "
[directory]
host = a
domain = milano
http = 127.0.0.1:7100
rpc = 127.0.0.1:7101
peers = 127.0.0.2:7101, 127.0.0.3:7101
[control]
replicas = 127.0.0.1:7000
";

fn read(text: &str) -> Result<Settings, String> {
    let reader = Reader::parse("a.ini", text).map_err(|err| err.to_string())?;
    Settings::read(reader).map_err(|err| err.to_string())
}

#[test]
fn test_settings_printed_read_back() {
    for extra in [
        "",
        "[metrics]\nsink = 127.0.0.1:8125\n[log]\nlevel = debug\n[answers]\ngateways = 3\nslack = 50%\n",
    ] {
        let settings = read(&format!("{GOOD}{extra}")).expect("good");
        assert_eq!(read(&settings.to_string()), Ok(settings));
    }
}

#[test]
fn test_settings_every_fault_is_reported() {
    let cases = [
        ("host = a\n", "", "[directory] host: is missing"),
        (
            "127.0.0.1:7100",
            "localhost:7100",
            "[directory] http: \"localhost:7100\" has the wrong form (allowed: IP:port",
        ),
        (
            "replicas = 127.0.0.1:7000",
            "",
            "[control] replicas: is missing",
        ),
        (
            "[control]",
            "[leases]\nrefresh = 1s\n[control]",
            "[leases] refresh: contradicts lease",
        ),
        (
            "[control]",
            "[leases]\nlease = 5\n[control]",
            "[leases] lease: \"5\" has the wrong form",
        ),
        (
            "[control]",
            "[leases]\nexchange = 1s\n[control]",
            "[leases] exchange: contradicts home",
        ),
        (
            "[control]",
            "[leases]\nhome = 6s\n[control]",
            "[leases] home: \"6000ms\" has the wrong form",
        ),
        (
            "[control]",
            "[leases]\nconfirmation = 900ms\n[control]",
            "[leases] confirmation: \"900ms\" has the wrong form",
        ),
        (
            "[control]",
            "[answers]\ngateways = 0\n[control]",
            "[answers] gateways: \"0\" has the wrong form",
        ),
        (
            "[control]",
            "[nothing]\na = 1\n[control]",
            "[nothing] : is no known section",
        ),
        (
            "[control]",
            "[control]\nreplica = 1",
            "[control] replica: is no known key",
        ),
    ];
    for (from, to, fault) in cases {
        assert!(GOOD.contains(from), "{from}");
        let err = read(&GOOD.replace(from, to)).expect_err(fault);
        assert!(err.contains(fault), "{fault} in {err}");
    }
    let both = GOOD
        .replace("host = a\n", "")
        .replace("127.0.0.1:7100", "x");
    assert_eq!(read(&both).expect_err("two").lines().count(), 2);
}
