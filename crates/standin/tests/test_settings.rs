//! Reading, rejecting and printing the settings of a stand-in.

use conf::Reader;
use standin::Settings;

const MINIMAL: &str =
    "[standin]\nlisten = 127.0.0.1:0\nservice = grants\ninstance = grants-1\ndomain = milano\n";

fn read(text: &str) -> Result<Settings, String> {
    let reader = Reader::parse("standin.ini", text).map_err(|err| err.to_string())?;
    Settings::read(reader).map_err(|err| err.to_string())
}

#[test]
fn test_settings_printed_are_read_again() {
    let settings = read(MINIMAL).unwrap();
    let printed = settings.to_string();
    assert_eq!(read(&printed).unwrap().to_string(), printed);
}

#[test]
fn test_settings_refused() {
    let cases = [
        ("", "listen: is missing"),
        ("", "service: is missing"),
        ("[standin]\nlisten = localhost:1\n", "IP:port"),
        ("[standin]\ntime = 8\n", "unit ms"),
        ("[standin]\nslots = 0\n", "slots"),
        ("[standin]\ncolour = red\n", "colour: is no known key"),
        ("[other]\na = 1\n", "[other] : is no known section"),
    ];
    for (text, part) in cases {
        let err = read(text).unwrap_err();
        assert!(err.contains(part), "{text:?}: {err}");
    }
}
