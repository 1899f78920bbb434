//! `history`: accepted changes.

use wire::catalogue::Edit;
use wire::catalogue::HistoryItem;
use wire::catalogue::edit::Kind;
use wire::control::HistoryQuery;

use crate::error::CliError;
use crate::flags::Arguments;
use crate::flags::Flag;
use crate::output::Output;
use crate::remote::Control;
use crate::settings::Settings;
use crate::table::Table;

/// Number of changes shown, unless `--most` is given.
const DEFAULT_COUNT: u32 = 20;

pub(super) async fn run(
    mut arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let from: Option<u64> = arguments.take_value(Flag::From)?;
    let most: u32 = arguments.take_value(Flag::Most)?.unwrap_or(DEFAULT_COUNT);
    arguments.finish("history")?;
    let control = Control::new(settings)?;
    let version = control.catalogue().await?.version;
    let from = from.unwrap_or((version + 1).saturating_sub(most.into()));
    let query = HistoryQuery { from, most };
    let last = version.min((from + u64::from(most)).saturating_sub(1));
    let history = control.history(query, last).await?;
    let mut table = Table::new("change", &["version", "id", "author", "edits"]);
    for item in &history.items {
        table.push_row([&item.version, &item.id, &item.author, &edits_text(item)]);
    }
    Ok(out.table(&table)?)
}

fn edits_text(item: &HistoryItem) -> String {
    let texts: Vec<String> = item.edits.iter().map(edit_text).collect();
    texts.join(", ")
}

fn edit_text(edit: &Edit) -> String {
    match &edit.kind {
        None => String::new(),
        Some(Kind::Put(entry)) => format!("put {}", entry.service),
        Some(Kind::Remove(service)) => format!("remove {service}"),
        Some(Kind::AddGateway(host)) => format!("add gateway {host}"),
        Some(Kind::RemoveGateway(host)) => format!("remove gateway {host}"),
    }
}
