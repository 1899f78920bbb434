//! The commands, one module each.

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
mod routes;
mod show;
mod story;
mod upstreams;

use std::str::FromStr;

use strum::EnumString;

use crate::error::CliError;
use crate::flags::Flag;
use crate::flags::UsageError;
use crate::flags::Words;
use crate::output::Output;
use crate::settings::Defaults;
use crate::settings::Settings;

/// The usage text.
pub const USAGE: &str = include_str!("usage.txt");

/// A command's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "kebab-case")]
enum Verb {
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

/// Performs the command that `words` name.
///
/// # Errors
///
/// Fails as the command does.
pub async fn perform(
    mut words: Words,
    defaults: &Defaults,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    if words.has(Flag::Help) {
        return Ok(out.raw(USAGE)?);
    }
    if words.has(Flag::Version) {
        return Ok(out.raw(concat!("rwrctl ", env!("CARGO_PKG_VERSION"), "\n"))?);
    }
    let name = words.word().ok_or(UsageError::NoCommand)?;
    let verb = Verb::from_str(&name).map_err(|_| UsageError::Command(name))?;
    let settings = Settings::take(&mut words, defaults)?;
    match verb {
        Verb::Plan => plan::perform(words, &settings, out).await,
        Verb::Apply => apply::perform(words, &settings, out).await,
        Verb::Show => show::perform(words, &settings, out).await,
        Verb::History => history::perform(words, &settings, out).await,
        Verb::Hosts => hosts::perform(words, &settings, out).await,
        Verb::Upstreams => upstreams::perform(words, &settings, out).await,
        Verb::Explain => explain::perform(words, &settings, out).await,
        Verb::Drain => drain::perform(words, &settings, out).await,
        Verb::Evacuate => evacuate::order(words, true, &settings, out).await,
        Verb::Return => evacuate::order(words, false, &settings, out).await,
        Verb::Evacuations => evacuate::show(words, &settings, out).await,
        Verb::Quarantine => quarantine::show(words, &settings, out).await,
        Verb::Replica => replica::perform(words, &settings, out).await,
        Verb::Routes => routes::perform(words, &settings, out).await,
        Verb::Story => story::perform(words, out),
    }
}
