//! `plan`: shows what applying a file would change.

use std::path::Path;

use catalogue::Catalogue;
use catalogue::diff;
use catalogue::diff::Difference;
use catalogue::file;
use catalogue::file::CatalogueFile;

use crate::error::CliError;
use crate::flags::Arguments;
use crate::output::Output;
use crate::remote::Control;
use crate::settings::Settings;
use crate::table::Table;

pub(super) async fn run(
    mut arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let path = arguments.required("FILE")?;
    arguments.finish("plan")?;
    let desired = file::open(Path::new(&path)).map_err(CliError::Catalogue)?;
    let current = Control::new(settings)?.catalogue().await?;
    Ok(print(&current, &desired, out)?)
}

/// Prints the version that the plan is based on, and each difference.
pub(super) fn print(
    current: &Catalogue,
    desired: &CatalogueFile,
    out: &mut Output<'_>,
) -> std::io::Result<()> {
    let differences = diff::differences(current, &desired.catalogue);
    let mut plan = Table::new("plan", &["base", "differences"]);
    plan.push_row([&current.version, &differences.len()]);
    let sentence = match differences.len() {
        0 => format!("version {}: nothing to change", current.version),
        count => format!("against version {}, {count} differences:", current.version),
    };
    out.item(&sentence, &plan)?;
    if let Some(base) = desired.base.filter(|base| *base != current.version) {
        print_outdated(current, base, out)?;
    }
    if differences.is_empty() {
        return Ok(());
    }
    out.table(&table(&differences))
}

fn print_outdated(current: &Catalogue, base: u64, out: &mut Output<'_>) -> std::io::Result<()> {
    let mut table = Table::new("overtaken", &["file", "current"]);
    table.push_row([&base, &current.version]);
    let sentence =
        format!("the file was made from version {base}, so applying it will end in a conflict");
    out.item(&sentence, &table)
}

fn table(differences: &[Difference]) -> Table {
    let mut table = Table::new("difference", &["effect", "name", "field", "from", "to"]);
    for difference in differences {
        table.push_row([
            &difference.effect,
            &difference.subject,
            &difference.field,
            &difference.from,
            &difference.to,
        ]);
    }
    table
}
