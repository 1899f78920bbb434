//! `routes`: shows, checks and replaces the route table.

use std::path::Path;

use conf::Reader;
use table::Table;
use wire::hub::TableOutcome;
use wire::hub::TableReply;

use super::links::hubs;
use crate::error::CliError;
use crate::flags::Arguments;
use crate::flags::UsageError;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;

pub(super) async fn run(
    mut arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let subcommand = arguments.required("show, check or put")?;
    match subcommand.as_str() {
        "show" => {
            arguments.finish("routes show")?;
            show(settings, out).await
        }
        "check" => {
            let path = arguments.required("FILE")?;
            arguments.finish("routes check")?;
            let table = load_table(&path)?;
            Ok(out.raw(&format!("version {}: valid\n", table.version))?)
        }
        "put" => {
            let path = arguments.required("FILE")?;
            arguments.finish("routes put")?;
            put(&load_table(&path)?, settings, out).await
        }
        _ => Err(UsageError::UnknownCommand(format!("routes {subcommand}")).into()),
    }
}

/// Reads and validates a route table file.
fn load_table(path: &str) -> Result<Table, CliError> {
    let reader = Reader::open(Path::new(path)).map_err(CliError::Catalogue)?;
    let table = table::file::read(reader).map_err(CliError::Catalogue)?;
    let faults = table::check(&table);
    if faults.is_empty() {
        Ok(table)
    } else {
        Err(CliError::InvalidRouteTable(faults))
    }
}

async fn show(settings: &Settings, out: &mut Output<'_>) -> Result<(), CliError> {
    let links = hubs(settings)?;
    let call = async |c: wire::api::HubApiClient, x| c.read_table(x).await;
    let reply = remote::call_any(&links, settings.timeout, call).await?;
    if !reply.confirmed {
        return Err(CliError::Unconfirmed(0));
    }
    let row = reply.table.ok_or(CliError::Malformed)?;
    let table = table::codec::decode(&row.content).map_err(|_| CliError::Malformed)?;
    Ok(out.raw(&table::file::write(&table))?)
}

async fn put(table: &Table, settings: &Settings, out: &mut Output<'_>) -> Result<(), CliError> {
    let links = hubs(settings)?;
    let content = table::codec::encode(table).map_err(|_| CliError::Malformed)?;
    let row = wire::hub::Table {
        version: table.version,
        content: content.into(),
        source: Vec::new().into(),
    };
    let call = async |c: wire::api::HubApiClient, x| c.put_table(x, row.clone()).await;
    let reply: TableReply = remote::call_any(&links, settings.timeout, call).await?;
    match reply.outcome() {
        TableOutcome::Taken => Ok(out.raw(&format!("version {} is in force\n", reply.version))?),
        TableOutcome::Held => Ok(out.raw(&format!("version {} was in force\n", reply.version))?),
        TableOutcome::Older | TableOutcome::Differs => {
            Err(CliError::NewerTableInForce(reply.version))
        }
        TableOutcome::Unspecified => Err(CliError::Unconfirmed(reply.version)),
    }
}
