//! The commands of `rwrctl`.

mod apply;
mod drain;
mod evacuate;
mod explain;
mod history;
mod hosts;
mod links;
mod plan;
mod quarantine;
mod replica;
pub mod routes;
mod show;
mod story;
mod upstreams;

use std::str::FromStr;

use strum::EnumString;

use crate::error::CliError;
use crate::flags::Arguments;
use crate::flags::Flag;
use crate::flags::UsageError;
use crate::output::Output;
use crate::settings::Defaults;
use crate::settings::Settings;

/// The usage text, printed by `--help`.
pub const USAGE: &str = include_str!("usage.txt");

/// A command's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "kebab-case")]
enum Command {
    Plan,
    Apply,
    Show,
    History,
    Hosts,
    Upstreams,
    Explain,
    Drain,
    Evacuate,
    Return,
    Evacuations,
    Quarantine,
    Replica,
    Routes,
    Story,
}

/// Runs the command that `arguments` name.
///
/// # Errors
///
/// Fails when the arguments are invalid or the command fails.
pub async fn run(
    mut arguments: Arguments,
    defaults: &Defaults,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    if arguments.take_switch(Flag::Help) {
        return Ok(out.raw(USAGE)?);
    }
    if arguments.take_switch(Flag::Version) {
        let line = base::build::version_line("rwrctl", env!("CARGO_PKG_VERSION"));
        return Ok(out.raw(&format!("{line}\n"))?);
    }
    let name = arguments.positional().ok_or(UsageError::MissingCommand)?;
    let command = Command::from_str(&name).map_err(|_| UsageError::UnknownCommand(name))?;
    let settings = Settings::resolve(&mut arguments, defaults)?;
    match command {
        Command::Plan => plan::run(arguments, &settings, out).await,
        Command::Apply => apply::run(arguments, &settings, out).await,
        Command::Show => show::run(arguments, &settings, out).await,
        Command::History => history::run(arguments, &settings, out).await,
        Command::Hosts => hosts::run(arguments, &settings, out).await,
        Command::Upstreams => upstreams::run(arguments, &settings, out).await,
        Command::Explain => explain::run(arguments, &settings, out).await,
        Command::Drain => drain::run(arguments, &settings, out).await,
        Command::Evacuate => evacuate::set_evacuated(arguments, true, &settings, out).await,
        Command::Return => evacuate::set_evacuated(arguments, false, &settings, out).await,
        Command::Evacuations => evacuate::show(arguments, &settings, out).await,
        Command::Quarantine => quarantine::show(arguments, &settings, out).await,
        Command::Replica => replica::run(arguments, &settings, out).await,
        Command::Routes => routes::run(arguments, &settings, out).await,
        Command::Story => story::run(arguments, out),
    }
}
