//! Regenerates the types of the `wire` crate in place: `cargo run -p gen`.

fn main() -> Result<(), gen_types::GenError> {
    gen_types::generate(&gen_types::wire_dir().join("src/generated"))
}
