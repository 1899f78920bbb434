//! Guards against missed, additional or separately reported faults of a settings file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use base::prelude::Class;
use base::prelude::HostName;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::value::Bytes;
use conf::value::Percent;
use conf::value::Rate;
use conf::value::log_level::Level;

/// Reads the settings of a fictitious daemon.
fn read(text: &str) -> Result<(), ConfError> {
    let mut reader = Reader::parse("d.ini", text)?;
    let r = &mut reader;
    r.required::<HostName>("main", "host");
    let http: Option<SocketAddr> = r.required("main", "http");
    let rpc: Option<SocketAddr> = r.optional("main", "rpc");
    r.list::<SocketAddr>("main", "peers");
    r.or("main", "wait", Duration::from_secs(1));
    r.or("main", "body", Bytes(1));
    r.or("main", "share", Percent(1));
    r.or("main", "rate", Rate(1));
    r.or("main", "class", Class::Once);
    r.or("main", "count", 1_u32);
    r.or("main", "drain", true);
    r.or("log", "level", Level::Info);
    r.allow_section("empty");
    if http.is_some() && http == rpc {
        r.fault("main", "rpc", Problem::Contradicts("http"), "another port");
    }
    reader.finish()
}

const VALID: &str = "[main]\nhost = milano-1\nhttp = 127.0.0.1:80\n";

/// Text that is appended to [`VALID`] (after `+`) or replaces it, and the expected faults.
const CASES: [(&str, &[&str]); 24] = [
    (
        "",
        &[
            "d.ini: [main] host: is missing (allowed: 1 to 128 letters, digits, '-', '_', '.' or ':')",
            "d.ini: [main] http: is missing (allowed: IP:port, such as 127.0.0.1:7000)",
        ],
    ),
    ("+rpc = 127.0.0.1:81", &[]),
    ("+# a comment\n; another\n\n[empty]", &[]),
    (
        "+rpc = localhost:81",
        &[
            "d.ini: [main] rpc: \"localhost:81\" has the wrong form (allowed: IP:port, such as 127.0.0.1:7000)",
        ],
    ),
    (
        "+rpc = 127.0.0.1:80",
        &["d.ini: [main] rpc: contradicts http (allowed: another port)"],
    ),
    (
        "+peers = 127.0.0.1:1, here,127.0.0.1:2",
        &[
            "d.ini: [main] peers: \"here\" has the wrong form (allowed: IP:port, such as 127.0.0.1:7000)",
        ],
    ),
    (
        "+wait = 5",
        &[
            "d.ini: [main] wait: \"5\" has the wrong form (allowed: whole number with unit ms, s or min, such as 250ms)",
        ],
    ),
    (
        "+wait = 5h",
        &[
            "d.ini: [main] wait: \"5h\" has the wrong form (allowed: whole number with unit ms, s or min, such as 250ms)",
        ],
    ),
    (
        "+wait = 0.5s",
        &[
            "d.ini: [main] wait: \"0.5s\" has the wrong form (allowed: whole number with unit ms, s or min, such as 250ms)",
        ],
    ),
    (
        "+wait = 307445734561825861min",
        &[
            "d.ini: [main] wait: \"307445734561825861min\" has the wrong form (allowed: whole number with unit ms, s or min, such as 250ms)",
        ],
    ),
    (
        "+body = 5kB",
        &[
            "d.ini: [main] body: \"5kB\" has the wrong form (allowed: whole number with unit B, KiB or MiB, such as 64KiB)",
        ],
    ),
    (
        "+body = 18014398509481984KiB",
        &[
            "d.ini: [main] body: \"18014398509481984KiB\" has the wrong form (allowed: whole number with unit B, KiB or MiB, such as 64KiB)",
        ],
    ),
    (
        "+share = 101%",
        &["d.ini: [main] share: \"101%\" has the wrong form (allowed: 0% to 100%)"],
    ),
    (
        "+rate = 1.2345/s",
        &[
            "d.ini: [main] rate: \"1.2345/s\" has the wrong form (allowed: number a second with at most three decimals, such as 2.5/s)",
        ],
    ),
    (
        "+rate = -1/s",
        &[
            "d.ini: [main] rate: \"-1/s\" has the wrong form (allowed: number a second with at most three decimals, such as 2.5/s)",
        ],
    ),
    (
        "+class = Urgent",
        &[
            "d.ini: [main] class: \"Urgent\" has the wrong form (allowed: urgent, once, durable or deferred)",
        ],
    ),
    (
        "+count = 4294967296",
        &["d.ini: [main] count: \"4294967296\" has the wrong form (allowed: whole number)"],
    ),
    (
        "+count = +1",
        &["d.ini: [main] count: \"+1\" has the wrong form (allowed: whole number)"],
    ),
    (
        "+share = +1%",
        &["d.ini: [main] share: \"+1%\" has the wrong form (allowed: 0% to 100%)"],
    ),
    (
        "+drain = true",
        &["d.ini: [main] drain: \"true\" has the wrong form (allowed: yes or no)"],
    ),
    (
        "+colour = red\n[log]\nlevel = loud\n[extra]\na = 1",
        &[
            "d.ini: [log] level: \"loud\" has the wrong form (allowed: error, warning, info or debug)",
            "d.ini: [extra] : is no known section",
            "d.ini: [main] colour: is no known key",
        ],
    ),
    (
        "+host = torino-1",
        &["d.ini: [main] host: stands twice (allowed: each key once)"],
    ),
    (
        "+[log]\n[main]\nwait = 1s",
        &["d.ini: [main] : stands twice (allowed: each section once)"],
    ),
    (
        "a = 1",
        &[
            "d.ini: [main] host: is missing (allowed: 1 to 128 letters, digits, '-', '_', '.' or ':')",
            "d.ini: [main] http: is missing (allowed: IP:port, such as 127.0.0.1:7000)",
            "d.ini: [] : is no known section",
        ],
    ),
];

#[test]
fn test_reader_faults() {
    for (text, expect) in CASES {
        let text = match text.strip_prefix('+') {
            Some(appended) => format!("{VALID}{appended}\n"),
            None => text.into(),
        };
        let found = match read(&text) {
            Ok(()) => String::new(),
            Err(err) => err.to_string(),
        };
        let lines: Vec<&str> = found.lines().collect();
        assert_eq!(lines, expect, "{text}");
    }
}

#[test]
fn test_reader_broken_files() {
    assert!(matches!(read("[main"), Err(ConfError::Syntax(..))));
    let absent = Reader::open(Path::new("no/such/file.ini"));
    let err = absent.expect_err("no file");
    assert!(err.to_string().starts_with("no/such/file.ini: "), "{err}");
}
