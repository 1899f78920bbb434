//! `quarantine`: requests that are refused because they crash instances.

use std::time::Duration;

use conf::value::duration_text;
use quarantine::Fingerprint;
use wire::api::DirectoryApiClient;
use wire::api::HubApiClient;
use wire::directory::CrashReport;
use wire::hub::Report;
use wire::hub::Suspects;
use wire::peer;
use wire::peer::DirectoryLink;

use super::links::hubs;
use crate::error::CliError;
use crate::flags::Arguments;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;
use crate::table::Table;

const MS_PER_SECOND: u64 = 1_000;

/// Prints the requests that one hub refuses, or one directory if no hub is set.
pub(super) async fn show(
    arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    arguments.finish("quarantine")?;
    let suspects = if settings.hub.is_empty() && !settings.directory.is_empty() {
        suspects_of_directory(settings).await?
    } else {
        suspects_of_hub(settings).await?
    };
    let mut table = Table::new("request", &["fingerprint", "left"]);
    for suspect in suspects
        .rows
        .iter()
        .filter(|suspect| suspect.refused_ms > 0)
    {
        let request = Fingerprint::from(suspect.request.unwrap_or_default());
        let remaining = Duration::from_secs(suspect.refused_ms.div_ceil(MS_PER_SECOND));
        table.push_row([&request, &duration_text(remaining)]);
    }
    Ok(out.table(&table)?)
}

// The reply to an empty report lists the suspects, as for any other report.
async fn suspects_of_hub(settings: &Settings) -> Result<Suspects, CliError> {
    let call = async |c: HubApiClient, x| c.report(x, Report::default()).await;
    remote::call_any(&hubs(settings)?, settings.timeout, call).await
}

async fn suspects_of_directory(settings: &Settings) -> Result<Suspects, CliError> {
    let links = settings.directory()?.iter().map(|a| peer::directory(*a));
    let links: Vec<DirectoryLink> = links.collect();
    let call = async |c: DirectoryApiClient, x| c.report(x, CrashReport::default()).await;
    remote::call_any(&links, settings.timeout, call).await
}
