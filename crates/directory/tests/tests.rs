//! All tests of the directory, as one binary that shares its fakes.

mod common;
mod test_path;
