//! `story`: prints the log lines about one request.

use std::fs;

use crate::error::CliError;
use crate::flags::Arguments;
use crate::output::Output;
use crate::story;
use crate::table::Table;

pub(super) fn run(mut arguments: Arguments, out: &mut Output<'_>) -> Result<(), CliError> {
    let id = arguments.required("ID")?;
    let mut logs = vec![];
    let mut path = Some(arguments.required("LOG")?);
    while let Some(next) = path {
        let text = fs::read_to_string(&next);
        logs.push(text.map_err(|err| CliError::File(next.into(), err))?);
        path = arguments.positional();
    }
    arguments.finish("story")?;
    let story = story::collect_lines(&id, &logs);
    let started_at = story.first().map_or(0.0, |line| line.timestamp);
    let mut table = Table::new("line", &["after_s", "host", "text"]);
    for line in &story {
        table.push_row([
            &format!("{:.3}", line.timestamp - started_at),
            &line.host,
            &line.text,
        ]);
    }
    if story.is_empty() {
        return Err(CliError::RequestNotInLogs(id));
    }
    Ok(out.table(&table)?)
}
