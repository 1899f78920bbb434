//! Whom the commands ask that go to hubs.

use wire::peer;
use wire::peer::HubLink;

use crate::error::CliError;
use crate::settings::Settings;

/// A link to each hub of `settings`.
pub(super) fn hubs(settings: &Settings) -> Result<Vec<HubLink>, CliError> {
    let addresses = settings.hub()?;
    Ok(addresses.iter().map(|a| peer::hub(*a)).collect())
}
