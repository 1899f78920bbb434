//! `history`: accepted changes.

use wire::catalogue::Edit;
use wire::catalogue::HistoryItem;
use wire::catalogue::edit::Kind;
use wire::control::HistoryQuery;

use crate::error::CliError;
use crate::flags::Flag;
use crate::flags::Words;
use crate::output::Output;
use crate::remote::Control;
use crate::settings::Settings;
use crate::table::Table;

/// How many items, unless told.
const MOST: u32 = 20;

pub(super) async fn perform(
    mut words: Words,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let from: Option<u64> = words.value(Flag::From)?;
    let most: u32 = words.value(Flag::Most)?.unwrap_or(MOST);
    words.finish("history")?;
    let control = Control::new(settings)?;
    let version = control.catalogue().await?.version;
    let from = from.unwrap_or((version + 1).saturating_sub(most.into()));
    let query = HistoryQuery { from, most };
    let last = version.min((from + u64::from(most)).saturating_sub(1));
    let history = control.history(query, last).await?;
    let mut table = Table::new("change", &["version", "id", "author", "edits"]);
    for item in &history.items {
        table.row([&item.version, &item.id, &item.author, &edits_text(item)]);
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
