//! The directory's daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    directory::stop::main()
}
