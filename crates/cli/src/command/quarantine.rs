//! `quarantine`: requests that are refused because they crash instances.

use std::time::Duration;

use conf::value::duration_text;
use quarantine::Fingerprint;
use wire::api::HubApiClient;
use wire::hub::Report;

use super::links::hubs;
use crate::error::CliError;
use crate::flags::Arguments;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;
use crate::table::Table;

const MS_PER_SECOND: u64 = 1_000;

/// Prints the requests that one hub refuses.
pub(super) async fn show(
    arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    arguments.finish("quarantine")?;
    let links = hubs(settings)?;
    // The reply to an empty report lists the suspects, as for any other report.
    let call = async |c: HubApiClient, x| c.report(x, Report::default()).await;
    let suspects = remote::call_any(&links, settings.timeout, call).await?;
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
