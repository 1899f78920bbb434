//! The operators' client `rwrctl`: one command a verb.
//!
//! A command asks the daemons, writes tables and ends with an [`Exit`]. The
//! streams are arguments of [`run`], so that tests read what an operator would.

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
use crate::flags::Flag;
use crate::flags::Words;
use crate::output::Output;

/// Runs one command line, the program's name left out.
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
    match perform(args, defaults, out).await {
        Ok(()) => Ok(Exit::Done),
        Err(error) => {
            report(&error, err)?;
            Ok(error.exit())
        }
    }
}

async fn perform(
    args: impl IntoIterator<Item = OsString>,
    defaults: &Defaults,
    out: &mut (dyn Write + Send),
) -> Result<(), CliError> {
    let mut words = Words::parse(args)?;
    let plain = words.has(Flag::Plain);
    command::perform(words, defaults, &mut Output::new(out, plain)).await
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
