//! `plan`: what applying a file would change.

use std::path::Path;

use catalogue::Catalogue;
use catalogue::diff;
use catalogue::diff::Difference;
use catalogue::file;

use crate::error::CliError;
use crate::flags::Words;
use crate::output::Output;
use crate::remote::Control;
use crate::settings::Settings;
use crate::table::Table;

pub(super) async fn perform(
    mut words: Words,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let path = words.required("FILE")?;
    words.finish("plan")?;
    let wanted = file::open(Path::new(&path)).map_err(CliError::Catalogue)?;
    let current = Control::new(settings)?.catalogue().await?;
    Ok(show(&current, &wanted, out)?)
}

/// Writes the version planned against, and each difference.
pub(super) fn show(
    current: &Catalogue,
    wanted: &Catalogue,
    out: &mut Output<'_>,
) -> std::io::Result<()> {
    let rows = diff::differences(current, wanted);
    let mut plan = Table::new("plan", &["base", "differences"]);
    plan.row([&current.version, &rows.len()]);
    let sentence = match rows.len() {
        0 => format!("version {}: nothing to change", current.version),
        count => format!("against version {}, {count} differences:", current.version),
    };
    out.fact(&sentence, &plan)?;
    if wanted.version > 0 && wanted.version != current.version {
        tell_old(current, wanted, out)?;
    }
    if rows.is_empty() {
        return Ok(());
    }
    out.table(&table(&rows))
}

fn tell_old(current: &Catalogue, wanted: &Catalogue, out: &mut Output<'_>) -> std::io::Result<()> {
    let mut table = Table::new("overtaken", &["file", "current"]);
    table.row([&wanted.version, &current.version]);
    let sentence = format!(
        "the file was made from version {}, so applying it will be a conflict",
        wanted.version
    );
    out.fact(&sentence, &table)
}

fn table(rows: &[Difference]) -> Table {
    let mut table = Table::new("difference", &["effect", "name", "field", "from", "to"]);
    for row in rows {
        table.row([&row.effect, &row.subject, &row.field, &row.from, &row.to]);
    }
    table
}
