//! `apply`: replaces the catalogue with the contents of a file, in one atomic change.

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
use crate::flags::Arguments;
use crate::flags::Flag;
use crate::flags::UsageError;
use crate::output::Output;
use crate::pending::Pending;
use crate::remote::Control;
use crate::remote::Directories;
use crate::settings::Settings;
use crate::table::Table;

/// Maximum time that `--wait` waits, unless `--within` is given.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which `--wait` queries the hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

struct ApplyArgs {
    path: PathBuf,
    id: Option<ChangeId>,
    base: Option<u64>,
    wait: bool,
    wait_timeout: Duration,
}

impl ApplyArgs {
    fn parse(mut arguments: Arguments) -> Result<Self, UsageError> {
        let id = arguments.take_text(Flag::Id);
        let form = "1 to 128 letters, digits, '-', '_', '.' or ':'";
        let id = id
            .map(|text| {
                ChangeId::new(&text).map_err(|_| UsageError::InvalidValue(Flag::Id, text, form))
            })
            .transpose()?;
        let args = Self {
            path: arguments.required("FILE")?.into(),
            id,
            base: arguments.take_value(Flag::Base)?,
            wait: arguments.take_switch(Flag::Wait),
            wait_timeout: arguments
                .take_value(Flag::Within)?
                .unwrap_or(DEFAULT_WAIT_TIMEOUT),
        };
        arguments.finish("apply")?;
        Ok(args)
    }
}

pub(super) async fn run(
    arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let args = ApplyArgs::parse(arguments)?;
    let directories = args.wait.then(|| Directories::new(settings)).transpose()?;
    let control = Control::new(settings)?;
    let Some(pending) = prepare(&args, settings, &control, out).await? else {
        return Ok(());
    };
    print_sending(&pending.change, out)?;
    pending.save()?;
    let reply = control.propose(&pending).await;
    if !matches!(reply, Err(CliError::Uncertain(..))) {
        pending.remove()?;
    }
    let version = accepted_version(&pending.change, reply?)?;
    print_accepted(&pending.change, version, out)?;
    match directories {
        Some(directories) => wait(&args, &control, &directories, version, out).await,
        None => Ok(()),
    }
}

/// Loads the saved change with the given id, or else computes a new one; `None` when there is
/// nothing to change.
async fn prepare(
    args: &ApplyArgs,
    settings: &Settings,
    control: &Control,
    out: &mut Output<'_>,
) -> Result<Option<Pending>, CliError> {
    if let Some(id) = &args.id
        && let Some(pending) = Pending::load(&args.path, id.as_str())?
    {
        return Ok(Some(pending));
    }
    let desired = file::open(&args.path).map_err(CliError::Catalogue)?;
    let current = control.catalogue().await?;
    plan::print(&current, &desired, out)?;
    let edits = diff::edits(&current, &desired.catalogue);
    if edits.is_empty() {
        return Ok(None);
    }
    let id = args.id.as_ref().map(ToString::to_string);
    let change = Change {
        id: id.unwrap_or_else(|| Uuid::new_v4().to_string()),
        base: args.base.or(desired.base).unwrap_or(current.version),
        author: settings.author.clone(),
        edits,
    };
    let file = Path::to_path_buf(&args.path);
    Ok(Some(Pending { change, file }))
}

fn print_sending(change: &Change, out: &mut Output<'_>) -> std::io::Result<()> {
    let mut table = Table::new("change", &["id", "base", "edits"]);
    table.push_row([&change.id, &change.base, &change.edits.len()]);
    let sentence = format!(
        "sending change {} on version {} ({} edits)",
        change.id,
        change.base,
        change.edits.len()
    );
    out.item(&sentence, &table)
}

fn print_accepted(change: &Change, version: u64, out: &mut Output<'_>) -> std::io::Result<()> {
    let mut table = Table::new("accepted", &["id", "version"]);
    table.push_row([&change.id, &version]);
    out.item(&format!("accepted as version {version}"), &table)
}

fn accepted_version(change: &Change, reply: Kind) -> Result<u64, CliError> {
    match reply {
        Kind::Accepted(accepted) => Ok(accepted.version),
        Kind::Conflict(conflict) => Err(CliError::Conflict(conflict)),
        Kind::Invalid(invalid) => Err(CliError::Invalid(invalid)),
        Kind::Reused(reused) => Err(CliError::IdReused(change.id.clone(), reused.version)),
        Kind::Expired(_) => Err(CliError::Expired(change.id.clone())),
        // `Control::propose` resends until the reply is not uncertain.
        Kind::Uncertain(_) => Err(CliError::Malformed),
    }
}

async fn wait(
    args: &ApplyArgs,
    control: &Control,
    directories: &Directories,
    version: u64,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let deadline = Instant::now() + args.wait_timeout;
    let catalogue: Catalogue = control.catalogue().await?;
    loop {
        let hosts = directories.hosts().await?;
        let rollout = hosts::rollout(&catalogue, &hosts, version);
        let lagging: Vec<String> = rollout.lagging();
        let timed_out = Instant::now() + POLL_INTERVAL >= deadline;
        if lagging.is_empty() || timed_out {
            out.table(&rollout.table())?;
        }
        match (lagging.is_empty(), timed_out) {
            (true, _) => return Ok(()),
            (false, true) => return Err(CliError::Lagging(version, lagging)),
            (false, false) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}
