//! Tests of the directory, built as one binary.

mod common;
mod test_daemon;
mod test_path;
mod test_port;
mod test_settings;
mod test_spread;
mod test_stop;
mod test_suspects;
