//! Fails if the committed types are not those that the protocol files generate.

use std::fs;
use std::path::PathBuf;

#[test]
fn test_gen_committed_is_current() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&out).expect("folder");
    gen_types::generate(&out).expect("generates");
    for entry in fs::read_dir(&out).expect("lists") {
        let entry = entry.expect("entry");
        let committed_path = gen_types::wire_dir()
            .join("src/generated")
            .join(entry.file_name());
        let generated = fs::read_to_string(entry.path()).expect("fresh");
        let committed = fs::read_to_string(&committed_path).expect("committed");
        assert_eq!(generated, committed, "run `cargo run -p gen`");
    }
}
