//! The committed types are those that the protocol files give.

use std::fs;
use std::path::PathBuf;

#[test]
fn test_gen_committed_is_current() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&out).expect("folder");
    gen_types::generate(&out).expect("generates");
    for item in fs::read_dir(&out).expect("lists") {
        let item = item.expect("entry");
        let committed = gen_types::wire_dir()
            .join("src/generated")
            .join(item.file_name());
        let fresh = fs::read_to_string(item.path()).expect("fresh");
        let kept = fs::read_to_string(&committed).expect("committed");
        assert_eq!(fresh, kept, "run `cargo run -p gen`");
    }
}
