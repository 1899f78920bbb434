//! Guards against example settings in the documentation that the binaries reject.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use testutils::Binary;

fn binary(name: &str) -> Option<Binary> {
    match name.split('-').next()? {
        "control" => Some(Binary::Control),
        "directory" => Some(Binary::Directory),
        "gateway" => Some(Binary::Gateway),
        "standin" => Some(Binary::Standin),
        _ => None,
    }
}

#[test]
fn test_examples_checked() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/examples");
    let mut checked = 0;
    for file in fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let Some(binary) = path.file_stem().and_then(|s| binary(s.to_str()?)) else {
            continue;
        };
        let mut command = Command::new(binary.path().unwrap());
        let output = command.arg("--config").arg(&path).arg("--check").output();
        let output = output.unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{}: {text}", path.display());
        checked += 1;
    }
    assert_eq!(checked, 10);
}

#[test]
fn test_examples_catalogue() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/examples");
    let file = catalogue::file::open(&folder.join("catalogue.ini")).unwrap();
    let catalogue = file.catalogue;
    assert_eq!(catalogue.entries.len(), 2);
    assert_eq!(catalogue.gateways.len(), 2);
}
