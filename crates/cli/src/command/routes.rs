//! `routes`: shows, checks and replaces the route table.

use std::path::Path;

use conf::Reader;
use quick_error::quick_error;
use table::Table;
use wire::hub::TableOutcome;
use wire::hub::TableReply;

use super::links::hubs;
use crate::error::CliError;
use crate::exit::Exit;
use crate::flags::Arguments;
use crate::flags::UsageError;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;

quick_error! {
    /// Why the route table couldn't be read or replaced.
    #[derive(Debug)]
    pub enum RoutesError {
        /// The hubs have no route table.
        NoTable {
            display("no route table was accepted yet")
        }
        /// No majority of the hubs confirmed which route table is the newest.
        Unconfirmed {
            display("no majority of the hubs could confirm the route table")
        }
        /// Whether a route table was accepted is unknown.
        Uncertain(version: u64) {
            display("version {version} of the route table may or may not have been accepted")
        }
        /// A newer route table, or a different one with the same version, is in force.
        NewerInForce(version: u64) {
            display("version {version} of the route table is already in force")
        }
    }
}

impl RoutesError {
    /// The exit code for this error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::NoTable => Exit::Failure,
            Self::Unconfirmed => Exit::Unreachable,
            Self::Uncertain(_) => Exit::Uncertain,
            Self::NewerInForce(_) => Exit::Conflict,
        }
    }

    /// What the operator can do next.
    #[must_use]
    pub fn hint(&self) -> &'static str {
        match self {
            Self::NoTable => "rwrctl routes put FILE sends the first one",
            Self::Unconfirmed => "repeat it, or give the addresses of more hubs",
            Self::Uncertain(_) => {
                "send the same file again; rwrctl routes show writes the table in force"
            }
            Self::NewerInForce(_) => {
                "rwrctl routes show writes the table in force; give a higher version"
            }
        }
    }
}

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
        return Err(RoutesError::Unconfirmed.into());
    }
    let row = reply.table.ok_or(RoutesError::NoTable)?;
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
            Err(RoutesError::NewerInForce(reply.version).into())
        }
        TableOutcome::Unspecified => Err(RoutesError::Uncertain(table.version).into()),
    }
}
