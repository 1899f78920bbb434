//! Links for the commands that call hubs.

use wire::peer;
use wire::peer::HubLink;

use crate::error::CliError;
use crate::settings::Settings;

/// Creates a link to each hub in `settings`.
pub(super) fn hubs(settings: &Settings) -> Result<Vec<HubLink>, CliError> {
    let addresses = settings.hub()?;
    Ok(addresses.iter().map(|a| peer::hub(*a)).collect())
}
