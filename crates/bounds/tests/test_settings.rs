//! Settings of the bounds: defaults, checks and their text.

use bounds::Requirements;
use bounds::Settings;
use conf::Reader;
use conf::value::Bytes;

const MEBI: u64 = 1024 * 1024;
const NEEDS: Requirements = Requirements {
    own: Bytes(48 * MEBI),
    largest: Bytes(MEBI),
};

fn read(text: &str) -> Result<Settings, String> {
    let mut reader = Reader::parse("bounds.ini", text).map_err(|err| err.to_string())?;
    let settings = Settings::read(&mut reader, NEEDS);
    reader.finish().map_err(|err| err.to_string())?;
    Ok(settings)
}

#[test]
fn test_settings_memory_follows_the_machine() {
    let limits = |text: &str| read(text).expect("valid").limits(NEEDS);
    assert_eq!(limits("").memory, 64 * MEBI);
    assert_eq!(limits("[bounds]\nmachine = 160MiB\n").memory, 112 * MEBI);
    // What one client may need is kept on a small machine, too.
    assert_eq!(limits("[bounds]\nmachine = 40MiB\n").memory, MEBI);
    let set = limits("[bounds]\nmachine = 160MiB\nmemory = 20MiB\n");
    assert_eq!(set.memory, 20 * MEBI);
}

#[test]
fn test_settings_connections_leave_descriptors_to_others() {
    let limits = |text: &str| read(text).expect("valid").limits(NEEDS);
    let default = limits("[bounds]\ndescriptors = 4100\n");
    assert_eq!(default.connections, 2562);
    assert!(limits("").connections >= 16);
    let set = limits("[bounds]\ndescriptors = 4100\nconnections = 300\n");
    assert_eq!(set.connections, 300);
}

/// Guards against limits that would refuse ordinary clients.
#[test]
fn test_settings_contradictions_are_faults() {
    for (text, key) in [
        ("[bounds]\nmemory = 1KiB\n", "memory"),
        ("[bounds]\nmachine = 16MiB\nmemory = 16MiB\n", "memory"),
        ("[bounds]\nconnections = 15\n", "connections"),
        (
            "[bounds]\ndescriptors = 300\nconnections = 237\n",
            "connections",
        ),
        ("[bounds]\nmemory = much\n", "memory"),
    ] {
        let err = read(text).expect_err(text);
        assert!(err.contains(key), "{text}: {err}");
    }
}

#[test]
fn test_settings_text_is_read_back() {
    let text =
        "[bounds]\nmachine = 160MiB\ndescriptors = 4100\nmemory = 20MiB\nconnections = 300\n";
    let settings = read(text).expect("valid");
    assert_eq!(read(&settings.to_string()).expect("valid"), settings);
    assert_eq!(settings.to_string(), text);
}
