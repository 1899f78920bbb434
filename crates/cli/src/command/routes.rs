//! `routes`: the route table.

use std::path::Path;

use conf::Reader;
use table::Table;
use wire::hub::TableOutcome;
use wire::hub::TableReply;

use super::links::hubs;
use crate::error::CliError;
use crate::flags::UsageError;
use crate::flags::Words;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;

pub(super) async fn perform(
    mut words: Words,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let verb = words.required("show, check or put")?;
    match verb.as_str() {
        "show" => {
            words.finish("routes show")?;
            show(settings, out).await
        }
        "check" => {
            let path = words.required("FILE")?;
            words.finish("routes check")?;
            let table = open(&path)?;
            Ok(out.raw(&format!("version {}: valid\n", table.version))?)
        }
        "put" => {
            let path = words.required("FILE")?;
            words.finish("routes put")?;
            put(&open(&path)?, settings, out).await
        }
        _ => Err(UsageError::Command(format!("routes {verb}")).into()),
    }
}

/// Reads and checks a file.
fn open(path: &str) -> Result<Table, CliError> {
    let reader = Reader::open(Path::new(path)).map_err(CliError::Catalogue)?;
    let table = table::file::read(reader).map_err(CliError::Catalogue)?;
    let faults = table::check(&table);
    if faults.is_empty() {
        Ok(table)
    } else {
        Err(CliError::Routes(faults))
    }
}

async fn show(settings: &Settings, out: &mut Output<'_>) -> Result<(), CliError> {
    let links = hubs(settings)?;
    let call = async |c: wire::api::HubApiClient, x| c.read_table(x).await;
    let reply = remote::first(&links, settings.timeout, call).await?;
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
    let reply: TableReply = remote::first(&links, settings.timeout, call).await?;
    match reply.outcome() {
        TableOutcome::Taken => Ok(out.raw(&format!("version {} is in force\n", reply.version))?),
        TableOutcome::Held => Ok(out.raw(&format!("version {} was in force\n", reply.version))?),
        TableOutcome::Older | TableOutcome::Differs => Err(CliError::Overtaken(reply.version)),
        TableOutcome::Unspecified => Err(CliError::Unconfirmed(reply.version)),
    }
}
