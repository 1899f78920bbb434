//! Parsing of a daemon's command line.

use daemon::command::Command;
use daemon::command::read;

#[test]
fn test_command_line() {
    let run = |check| Command::Run {
        config: "a.ini".into(),
        check,
    };
    let cases = [
        (vec!["--config", "a.ini"], Some(run(false))),
        (vec!["--check", "--config=a.ini"], Some(run(true))),
        (vec!["--help"], Some(Command::Help)),
        (vec!["-h"], Some(Command::Help)),
        (vec!["--version"], Some(Command::Version)),
        (vec!["-V"], Some(Command::Version)),
        (vec![], None),
        (vec!["--config"], None),
        (vec!["--config", "a.ini", "more"], None),
        (vec!["--unknown"], None),
    ];
    for (args, expected) in cases {
        let text = format!("{args:?}");
        assert_eq!(read(args).ok(), expected, "{text}");
    }
}
