//! `drain`: stops one gateway gracefully.

use crate::error::CliError;
use crate::flags::Arguments;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;
use crate::table::Table;

pub(super) async fn run(
    arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    arguments.finish("drain")?;
    let address = settings.gateway()?;
    let links = [wire::peer::gateway(address)];
    let call = async |c: wire::api::GatewayApiClient, x| c.drain(x).await;
    let reply = remote::call_any(&links, settings.timeout, call).await?;
    let mut table = Table::new("drain", &["gateway", "in-flight"]);
    table.push_row([&address, &reply.in_flight]);
    let sentence = format!(
        "{address} stops; {} calls in flight finish first",
        reply.in_flight
    );
    Ok(out.item(&sentence, &table)?)
}
