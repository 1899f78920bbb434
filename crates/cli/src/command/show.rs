//! `show`: the catalogue in force.

use catalogue::Catalogue;
use catalogue::file;

use crate::error::CliError;
use crate::flags::Arguments;
use crate::flags::Flag;
use crate::output::Output;
use crate::remote::Control;
use crate::settings::Settings;
use crate::table::Table;

/// The columns of a service, in the order of [`file::fields`].
const COLUMNS: &[&str] = &[
    "service",
    "owner",
    "class",
    "concurrency",
    "queue",
    "deadline",
    "body",
    "retries",
    "probes",
];

pub(super) async fn run(
    mut arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let service = arguments.positional();
    let ini = arguments.take_switch(Flag::Ini);
    arguments.finish("show")?;
    let mut catalogue = Control::new(settings)?.catalogue().await?;
    if let Some(service) = service {
        catalogue.entries.retain(|name, _| name.as_str() == service);
        catalogue.gateways.clear();
        if catalogue.entries.is_empty() {
            return Err(CliError::NotFound("service", service));
        }
    }
    if ini {
        return Ok(out.raw(&file::write(&catalogue.into()))?);
    }
    print_version(&catalogue, out)?;
    out.table(&entries(&catalogue))?;
    let mut gateways = Table::new("gateway", &["gateway"]);
    for host in &catalogue.gateways {
        gateways.push_row([host]);
    }
    if !gateways.is_empty() {
        out.table(&gateways)?;
    }
    Ok(())
}

fn print_version(catalogue: &Catalogue, out: &mut Output<'_>) -> std::io::Result<()> {
    let mut table = Table::new("catalogue", &["version", "services", "gateways"]);
    let (services, gateways) = (catalogue.entries.len(), catalogue.gateways.len());
    table.push_row([&catalogue.version, &services, &gateways]);
    let sentence = format!(
        "version {}, {services} services, {gateways} gateways",
        catalogue.version
    );
    out.item(&sentence, &table)
}

fn entries(catalogue: &Catalogue) -> Table {
    let mut table = Table::new("service", COLUMNS);
    for entry in catalogue.entries.values() {
        let [
            owner,
            class,
            concurrency,
            queue,
            deadline,
            body,
            retries,
            probes,
        ] = file::fields(entry).map(|(_, text)| text);
        table.push_row([
            &entry.service,
            &owner,
            &class,
            &concurrency,
            &queue,
            &deadline,
            &body,
            &retries,
            &probes,
        ]);
    }
    table
}
