//! Guards against wrong defaults, settings that `--check` prints in an unreadable form,
//! and unreported faults.

use conf::ConfError;
use conf::Reader;
use gateway::settings::Settings;

const MINIMAL: &str = "[gateway]\nhost = host-1\ndomain = milano\nhttp = 127.0.0.1:8080\n\
                     rpc = 127.0.0.1:8081\n[directory]\naddresses = 127.0.0.1:7081\n\
                     [control]\nreplicas = 127.0.0.1:7100, 127.0.0.1:7101\n";

fn read(text: &str) -> Result<Settings, ConfError> {
    Settings::read(Reader::parse("gateway.ini", text).expect("INI"))
}

#[test]
fn test_settings_round() {
    let settings = read(MINIMAL).expect("the minimal settings");
    let text = settings.to_string();
    assert!(text.contains("length = 3000ms"), "{text}");
    let again = read(&text).expect("what --check prints");
    assert_eq!(again.to_string(), text);
}

/// A line added to the minimal settings, and the resulting fault.
const FAULTS: [(&str, &str); 10] = [
    ("[lease]\npoll = 2s\n", "[lease] poll: contradicts length"),
    ("[lease]\npoll = 0ms\n", "[lease] poll: contradicts length"),
    (
        "[lease]\nlength = 3\n",
        "[lease] length: \"3\" has the wrong form",
    ),
    (
        "[bounds]\nhead = 4KiB\n",
        "[bounds] head: \"4096B\" has the wrong form",
    ),
    (
        "[bounds]\nmemory = 1KiB\n",
        "[bounds] memory: contradicts replay",
    ),
    (
        "[bounds]\nanswer = 2MiB\n",
        "[bounds] answer: \"2097152B\" has the wrong form",
    ),
    (
        "[bounds]\nreplay = 64\n",
        "[bounds] replay: \"64\" has the wrong form",
    ),
    ("[stop]\nwait = 1s\n", "[stop] wait: is no known key"),
    (
        "[metrics]\nsink = localhost:8125\n",
        "[metrics] sink: \"localhost:8125\" has the wrong form",
    ),
    ("[other]\nx = 1\n", "[other] : is no known section"),
];

#[test]
fn test_settings_faults() {
    for (line, fault) in FAULTS {
        let err = read(&format!("{MINIMAL}{line}"))
            .expect_err(line)
            .to_string();
        assert!(err.contains(fault), "{line}: {err}");
        assert!(err.starts_with("gateway.ini: "), "{err}");
    }
}

#[test]
fn test_settings_all_faults_at_once() {
    let err = read("[gateway]\nhost = a b\nhttp = here\n").expect_err("faults");
    let err = err.to_string();
    let keys = [
        "[gateway] host: ",
        "[gateway] domain: is missing",
        "[gateway] http: ",
        "[gateway] rpc: is missing",
        "[directory] addresses: is missing",
        "[control] replicas: is missing",
    ];
    for key in keys {
        assert!(err.contains(key), "{key} in {err}");
    }
}
