//! Reading and writing catalogue files, their faults, and differences between catalogues.

use catalogue::Catalogue;
use catalogue::diff;
use catalogue::file;
use catalogue::file::CatalogueFile;
use conf::ConfError;

const CATALOGUE: &str = "\
[service grants]
owner = Ferrovie Alpine Pianificazione
class = once
concurrency = 42
queue = 84
deadline = 2s
body = 64KiB
retries = 10%
probes = 2.5/s

[service register]
owner = Ferrovie Alpine Pianificazione
class = deferred
concurrency = 60
queue = 1000
deadline = 1min
body = 0B
retries = 0%
probes = 0/s

[gateway milano-1]

[gateway torino-1]
";

#[test]
fn test_file_round_trip() {
    let read = file::parse("c.ini", CATALOGUE).expect("a valid file");
    assert_eq!(read.catalogue.entries.len(), 2);
    assert_eq!(read.catalogue.gateways.len(), 2);
    assert_eq!(read.base, None);
    assert_eq!(file::write(&read), CATALOGUE);
    assert_eq!(
        file::parse("c.ini", "").expect("an empty file"),
        CatalogueFile::default()
    );
}

/// Guards against a file of the empty catalogue, version 0, that counts as one without a version.
#[test]
fn test_file_names_every_version_that_it_was_made_from() {
    for version in [0, 1, 7, u64::MAX] {
        let text = format!("[catalogue]\nversion = {version}\n\n{CATALOGUE}");
        let read = file::parse("c.ini", &text).expect("a valid file");
        assert_eq!(read.base, Some(version));
        assert_eq!(read.catalogue.version, version);
        assert_eq!(file::write(&read), text);
        assert_eq!(CatalogueFile::from(read.catalogue.clone()), read);
    }
}

/// Text of [`CATALOGUE`], its replacement, and the expected faults.
const FAULTS: [(&str, &str, &[&str]); 15] = [
    (
        "class = once",
        "class = twice",
        &[
            "c.ini: [service grants] class: \"twice\" has the wrong form (allowed: urgent, once, durable or deferred)",
        ],
    ),
    (
        "queue = 84\n",
        "",
        &["c.ini: [service grants] queue: is missing (allowed: whole number)"],
    ),
    (
        "queue = 84",
        "queue = 84\ncolour = red",
        &["c.ini: [service grants] colour: is no known key"],
    ),
    (
        "deadline = 2s",
        "deadline = 2",
        &[
            "c.ini: [service grants] deadline: \"2\" has the wrong form (allowed: whole number with unit ms, s or min, such as 250ms)",
        ],
    ),
    (
        "deadline = 2s",
        "deadline = 5ms",
        &["c.ini: [service grants] deadline: 5 ms is outside 10 to 600000 ms"],
    ),
    (
        "queue = 1000",
        "queue = 0",
        &[
            "c.ini: [service register] queue: class deferred may wait, which a queue of 0 contradicts",
        ],
    ),
    (
        "class = deferred",
        "class = durable",
        &[
            "c.ini: [service register] retries: class durable must not be lost, which retries of 0% contradict",
        ],
    ),
    (
        "class = deferred",
        "class = urgent",
        &[
            "c.ini: [service register] deadline: class urgent means that the caller waits, which a deadline over 30s contradicts",
        ],
    ),
    (
        "probes = 2.5/s",
        "probes = 0.001/s",
        &[
            "c.ini: [service grants] probes: the measuring budget divided by the gateways gives less than 0.001/s each; raise it or set 0/s",
        ],
    ),
    (
        "owner = Ferrovie Alpine Pianificazione\nclass = once",
        "owner = a\tb\nclass = once",
        &[
            "c.ini: [service grants] owner: is 1 to 128 letters, digits, spaces or any of -_.:,&'()/, without a space at either end",
        ],
    ),
    (
        "[gateway milano-1]",
        "[gateway milano 1]",
        &[
            "c.ini: [gateway milano 1] : \"milano 1\" has the wrong form (allowed: 1 to 128 letters, digits, '-', '_', '.' or ':')",
        ],
    ),
    (
        "[gateway milano-1]",
        "[gateway torino-1]",
        &["c.ini: [gateway torino-1] : stands twice (allowed: each section once)"],
    ),
    (
        "[gateway milano-1]",
        "[gatewey milano-1]",
        &["c.ini: [gatewey milano-1] : is no known section"],
    ),
    (
        "[gateway milano-1]",
        "[gateway milano-1]\nport = 1",
        &["c.ini: [gateway milano-1] port: is no known key"],
    ),
    (
        "class = once\nconcurrency = 42",
        "class = no\nconcurrency = many",
        &[
            "c.ini: [service grants] class: \"no\" has the wrong form (allowed: urgent, once, durable or deferred)",
            "c.ini: [service grants] concurrency: \"many\" has the wrong form (allowed: whole number)",
        ],
    ),
];

#[test]
fn test_file_faults() {
    for (from, to, expect) in FAULTS {
        let text = CATALOGUE.replacen(from, to, 1);
        let err = file::parse("c.ini", &text).expect_err(to);
        let lines: Vec<String> = err.to_string().lines().map(String::from).collect();
        assert_eq!(lines, expect, "{to}");
    }
    let err = file::parse("c.ini", "[service").expect_err("broken INI");
    assert!(matches!(err, ConfError::Syntax(..)), "{err}");
}

fn parse(text: &str) -> Catalogue {
    let file = file::parse("c.ini", text).expect("a valid file");
    file.catalogue
}

#[test]
fn test_diff_edits_and_rows() {
    let from = parse(CATALOGUE);
    let text = CATALOGUE
        .replace("queue = 84", "queue = 90")
        .replace("[service register]", "[service archive]")
        .replace("torino-1", "genova-1");
    let to = parse(&text);
    let edits = diff::edits(&from, &to);
    let change = wire::catalogue::Change {
        id: "a".into(),
        base: 0,
        author: "anna".into(),
        edits,
    };
    let made = catalogue::change::apply(&from, &change).expect("a valid change");
    assert_eq!(made.entries, to.entries);
    assert_eq!(made.gateways, to.gateways);
    let lines: Vec<String> = diff::differences(&from, &to)
        .into_iter()
        .map(|d| format!("{} {} {} {}>{}", d.effect, d.field, d.subject, d.from, d.to))
        .collect();
    let fields = "owner=Ferrovie Alpine Pianificazione class=deferred concurrency=60 queue=1000 deadline=1min body=0B retries=0% probes=0/s";
    let expect = [
        format!("add service archive >{fields}"),
        "change queue grants 84>90".into(),
        format!("remove service register {fields}>"),
        "add gateway genova-1 >".into(),
        "remove gateway torino-1 >".into(),
    ];
    assert_eq!(lines, expect);
    assert!(diff::edits(&to, &to).is_empty());
}
