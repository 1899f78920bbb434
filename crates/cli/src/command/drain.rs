//! `drain`: stops one gateway gracefully.

use crate::error::CliError;
use crate::flags::Words;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;
use crate::table::Table;

pub(super) async fn perform(
    words: Words,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    words.finish("drain")?;
    let address = settings.gateway()?;
    let links = [wire::peer::gateway(address)];
    let ask = async |c: wire::api::GatewayApiClient, x| c.drain(x).await;
    let reply = remote::first(&links, settings.timeout, ask).await?;
    let mut table = Table::new("drain", &["gateway", "in-flight"]);
    table.row([&address, &reply.in_flight]);
    let sentence = format!(
        "{address} stops; {} calls in flight finish first",
        reply.in_flight
    );
    Ok(out.fact(&sentence, &table)?)
}
