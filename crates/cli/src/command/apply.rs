//! `apply`: makes the catalogue what a file says, in one atomic change.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use base::prelude::ChangeId;
use catalogue::Catalogue;
use catalogue::diff;
use catalogue::file;
use tokio::time::Instant;
use uuid::Uuid;
use wire::catalogue::Change;
use wire::catalogue::change_reply::Kind;

use crate::command::hosts;
use crate::command::plan;
use crate::error::CliError;
use crate::flags::Flag;
use crate::flags::UsageError;
use crate::flags::Words;
use crate::output::Output;
use crate::pending::Pending;
use crate::remote::Control;
use crate::remote::Directories;
use crate::settings::Settings;
use crate::table::Table;

/// How long `--wait` waits, unless told.
const WITHIN: Duration = Duration::from_secs(10);
/// Pause between two looks at the hosts.
const POLL: Duration = Duration::from_millis(200);

struct Args {
    path: PathBuf,
    id: Option<ChangeId>,
    base: Option<u64>,
    wait: bool,
    within: Duration,
}

impl Args {
    fn take(mut words: Words) -> Result<Self, UsageError> {
        let id = words.text(Flag::Id);
        let form = "1 to 128 letters, digits, '-', '_', '.' or ':'";
        let id = id
            .map(|text| ChangeId::new(&text).map_err(|_| UsageError::Form(Flag::Id, text, form)))
            .transpose()?;
        let args = Self {
            path: words.required("FILE")?.into(),
            id,
            base: words.value(Flag::Base)?,
            wait: words.has(Flag::Wait),
            within: words.value(Flag::Within)?.unwrap_or(WITHIN),
        };
        words.finish("apply")?;
        Ok(args)
    }
}

pub(super) async fn perform(
    words: Words,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let args = Args::take(words)?;
    let directories = args.wait.then(|| Directories::new(settings)).transpose()?;
    let control = Control::new(settings)?;
    let Some(pending) = prepare(&args, settings, &control, out).await? else {
        return Ok(());
    };
    tell_sending(&pending.change, out)?;
    pending.save()?;
    let answer = control.propose(&pending).await;
    if !matches!(answer, Err(CliError::Uncertain(..))) {
        pending.forget()?;
    }
    let version = judge(&pending.change, answer?)?;
    tell_accepted(&pending.change, version, out)?;
    match directories {
        Some(directories) => wait(&args, &control, &directories, version, out).await,
        None => Ok(()),
    }
}

/// The change to send: the saved one of the same id, else a new one; `None`
/// when there is nothing to change.
async fn prepare(
    args: &Args,
    settings: &Settings,
    control: &Control,
    out: &mut Output<'_>,
) -> Result<Option<Pending>, CliError> {
    if let Some(id) = &args.id
        && let Some(pending) = Pending::find(&args.path, id.as_str())?
    {
        return Ok(Some(pending));
    }
    let wanted = file::open(&args.path).map_err(CliError::Catalogue)?;
    let current = control.catalogue().await?;
    plan::show(&current, &wanted, out)?;
    let edits = diff::edits(&current, &wanted);
    if edits.is_empty() {
        return Ok(None);
    }
    let id = args.id.as_ref().map(ToString::to_string);
    let stated = (wanted.version > 0).then_some(wanted.version);
    let change = Change {
        id: id.unwrap_or_else(|| Uuid::new_v4().to_string()),
        base: args.base.or(stated).unwrap_or(current.version),
        author: settings.author.clone(),
        edits,
    };
    let file = Path::to_path_buf(&args.path);
    Ok(Some(Pending { change, file }))
}

fn tell_sending(change: &Change, out: &mut Output<'_>) -> std::io::Result<()> {
    let mut table = Table::new("change", &["id", "base", "edits"]);
    table.row([&change.id, &change.base, &change.edits.len()]);
    let sentence = format!(
        "sending change {} on version {} ({} edits)",
        change.id,
        change.base,
        change.edits.len()
    );
    out.fact(&sentence, &table)
}

fn tell_accepted(change: &Change, version: u64, out: &mut Output<'_>) -> std::io::Result<()> {
    let mut table = Table::new("accepted", &["id", "version"]);
    table.row([&change.id, &version]);
    out.fact(&format!("accepted as version {version}"), &table)
}

fn judge(change: &Change, answer: Kind) -> Result<u64, CliError> {
    match answer {
        Kind::Accepted(accepted) => Ok(accepted.version),
        Kind::Conflict(conflict) => Err(CliError::Conflict(conflict)),
        Kind::Invalid(invalid) => Err(CliError::Invalid(invalid)),
        Kind::Reused(reused) => Err(CliError::Reused(change.id.clone(), reused.version)),
        Kind::Expired(_) => Err(CliError::Expired(change.id.clone())),
        // The proposal's loop ends only with another answer.
        Kind::Uncertain(_) => Err(CliError::Malformed),
    }
}

async fn wait(
    args: &Args,
    control: &Control,
    directories: &Directories,
    version: u64,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let end = Instant::now() + args.within;
    let catalogue: Catalogue = control.catalogue().await?;
    loop {
        let hosts = directories.hosts().await?;
        let rows = hosts::in_force(&catalogue, &hosts, version);
        let lagging: Vec<String> = rows.lagging();
        let over = Instant::now() + POLL >= end;
        if lagging.is_empty() || over {
            out.table(&rows.table())?;
        }
        match (lagging.is_empty(), over) {
            (true, _) => return Ok(()),
            (false, true) => return Err(CliError::Lagging(version, lagging)),
            (false, false) => tokio::time::sleep(POLL).await,
        }
    }
}
