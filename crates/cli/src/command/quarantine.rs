//! `quarantine`: requests that are refused, as they crash the instances that run them.

use std::time::Duration;

use conf::value::duration_text;
use quarantine::Fingerprint;
use wire::api::HubApiClient;
use wire::hub::Report;

use super::links::hubs;
use crate::error::CliError;
use crate::flags::Words;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;
use crate::table::Table;

/// Of a second.
const MILLIS: u64 = 1_000;

/// Shows the requests that one hub refuses.
pub(super) async fn show(
    words: Words,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    words.finish("quarantine")?;
    let links = hubs(settings)?;
    // A report of nothing is answered as any other.
    let call = async |c: HubApiClient, x| c.report(x, Report::default()).await;
    let suspects = remote::first(&links, settings.timeout, call).await?;
    let mut table = Table::new("request", &["fingerprint", "left"]);
    for row in suspects.rows.iter().filter(|row| row.refused_ms > 0) {
        let request = Fingerprint::from(row.request.unwrap_or_default());
        let left = Duration::from_secs(row.refused_ms.div_ceil(MILLIS));
        table.row([&request, &duration_text(left)]);
    }
    Ok(out.table(&table)?)
}
