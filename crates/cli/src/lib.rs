//! The operators' command-line client, `rwrctl`.
//!
//! A command queries the daemons, prints tables and ends with an [`Exit`]. [`run`] takes the
//! output streams as arguments so that tests can read them.

pub mod command;
pub mod error;
pub mod exit;
pub mod flags;
pub mod output;
pub mod pending;
pub mod remote;
pub mod settings;
pub mod story;
pub mod table;

use std::ffi::OsString;
use std::io;
use std::io::Write;

pub use exit::Exit;
pub use settings::Defaults;

use crate::error::CliError;
use crate::flags::Arguments;
use crate::flags::Flag;
use crate::output::Output;

/// Runs one command line; `args` excludes the program's name.
///
/// # Errors
///
/// Fails only when `err` can't be written.
pub async fn run(
    args: impl IntoIterator<Item = OsString>,
    defaults: &Defaults,
    out: &mut (dyn Write + Send),
    err: &mut (dyn Write + Send),
) -> io::Result<Exit> {
    match run_command(args, defaults, out).await {
        Ok(()) => Ok(Exit::Done),
        Err(error) => {
            report(&error, err)?;
            Ok(error.exit())
        }
    }
}

async fn run_command(
    args: impl IntoIterator<Item = OsString>,
    defaults: &Defaults,
    out: &mut (dyn Write + Send),
) -> Result<(), CliError> {
    let mut arguments = Arguments::parse(args)?;
    let plain = arguments.take_switch(Flag::Plain);
    command::run(arguments, defaults, &mut Output::new(out, plain)).await
}

fn report(error: &CliError, err: &mut (dyn Write + Send)) -> io::Result<()> {
    for line in error.to_string().lines() {
        writeln!(err, "rwrctl: {line}")?;
    }
    if let Some(hint) = error.hint() {
        writeln!(err, "hint: {hint}")?;
    }
    err.flush()
}
