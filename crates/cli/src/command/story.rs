//! `story`: what the logs tell of one request.

use std::fs;

use crate::error::CliError;
use crate::flags::Words;
use crate::output::Output;
use crate::story;
use crate::table::Table;

pub(super) fn perform(mut words: Words, out: &mut Output<'_>) -> Result<(), CliError> {
    let id = words.required("ID")?;
    let mut logs = vec![];
    let mut path = Some(words.required("LOG")?);
    while let Some(next) = path {
        let text = fs::read_to_string(&next);
        logs.push(text.map_err(|err| CliError::File(next.into(), err))?);
        path = words.word();
    }
    words.finish("story")?;
    let story = story::tell(&id, &logs);
    let began = story.first().map_or(0.0, |line| line.at);
    let mut table = Table::new("line", &["after_s", "host", "text"]);
    for line in &story {
        table.row([&format!("{:.3}", line.at - began), &line.host, &line.text]);
    }
    if story.is_empty() {
        return Err(CliError::NoStory(id));
    }
    Ok(out.table(&table)?)
}
