//! Which log lines `rwrctl story` collects for a request.

use cli::story;

const ENTRY: &str = "\
ts=100.100000 level=INFO msg=instance host=entry-1 binary=rwr-entry sequence=1 phase=PHASE_READY service=grants instance=i-1
ts=109.000000 level=INFO msg=instance host=entry-1 binary=rwr-entry sequence=9 phase=PHASE_DRAINING service=grants instance=i-1
ts=110.000000 level=INFO msg=choice host=entry-1 binary=rwr-entry left_ms=2490 instance=i-1 attempt=1 request=r-7
ts=110.100000 level=INFO msg=choice host=entry-1 binary=rwr-entry left_ms=2490 instance=i-2 attempt=1 request=r-8
ts=110.200000 level=INFO msg=\"connect failed\" host=entry-1 binary=rwr-entry error=\"timed out\" instance=i-1
ts=111.000000 level=INFO msg=request host=entry-1 binary=rwr-entry ms=1000 instance=i-1 attempts=1 status=504 outcome=timeout request=r-7
ts=112.000000 level=INFO msg=\"connect failed\" host=entry-1 binary=rwr-entry error=\"timed out\" instance=i-1
";
const OTHER: &str = "\
ts=109.500000 level=INFO msg=instance host=entry-2 binary=rwr-entry sequence=9 phase=PHASE_DRAINING service=grants instance=i-1
";

#[test]
fn test_story_includes_request_and_its_hosts_instance_lines() {
    let story = story::collect_lines("r-7", &[OTHER.to_owned(), ENTRY.to_owned()]);
    let lines: Vec<(f64, &str)> = story
        .iter()
        .map(|line| (line.timestamp, &*line.text))
        .collect();
    let expected = [
        (
            109.0,
            "msg=instance sequence=9 phase=PHASE_DRAINING service=grants instance=i-1",
        ),
        (
            110.0,
            "msg=choice left_ms=2490 instance=i-1 attempt=1 request=r-7",
        ),
        (
            110.2,
            "msg=\"connect failed\" error=\"timed out\" instance=i-1",
        ),
        (
            111.0,
            "msg=request ms=1000 instance=i-1 attempts=1 status=504 outcome=timeout request=r-7",
        ),
    ];
    assert_eq!(lines, expected);
}
