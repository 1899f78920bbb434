//! Files that are put in place whole: identity and snapshots.

use prost::Message;
use wire::store::Identity;
use wire::store::Snapshot;

use crate::disk::Disk;
use crate::error::Damage;
use crate::error::Operation;
use crate::error::StoreError;
use crate::frame;
use crate::frame::Found;

/// Name of the identity file.
pub const IDENTITY: &str = "identity";
/// Ending of files that aren't finished.
pub const UNFINISHED: &str = ".tmp";
const PREFIX: &str = "snapshot-";

/// Writes `bytes` as file `name`: all of it or, after a crash, none.
///
/// # Errors
///
/// Fails when any step does; the file may then be there or not.
pub fn place(disk: &mut dyn Disk, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let unfinished = format!("{name}{UNFINISHED}");
    step(Operation::Create, &unfinished, disk.create(&unfinished))?;
    step(
        Operation::Write,
        &unfinished,
        disk.append(&unfinished, bytes),
    )?;
    step(Operation::Sync, &unfinished, disk.sync(&unfinished))?;
    step(Operation::Rename, name, disk.rename(&unfinished, name))?;
    step(Operation::Sync, name, disk.sync_dir())
}

/// The identity, minted as `mint` in a folder without files.
///
/// # Errors
///
/// Fails when it is damaged, or missing beside a log.
pub fn identity(disk: &mut dyn Disk, names: &[String], mint: u64) -> Result<u64, StoreError> {
    if names.iter().any(|n| n == IDENTITY) {
        return Ok(load::<Identity>(disk, IDENTITY, Damage::Identity)?.id);
    }
    if !names.is_empty() {
        return Err(StoreError::Damaged(IDENTITY.into(), 0, Damage::Identity));
    }
    place(disk, IDENTITY, &framed(&Identity { id: mint }))?;
    Ok(mint)
}

/// The newest snapshot; older ones are removed.
///
/// # Errors
///
/// Fails when the newest is damaged: the log before it is gone.
pub fn newest(disk: &mut dyn Disk, names: &[String]) -> Result<Option<Snapshot>, StoreError> {
    let mut found: Vec<&String> = names.iter().filter(|n| n.starts_with(PREFIX)).collect();
    found.sort();
    let Some(name) = found.pop() else {
        return Ok(None);
    };
    let snapshot = load(disk, name, Damage::Snapshot)?;
    for old in found {
        step(Operation::Remove, old, disk.remove(old))?;
    }
    Ok(Some(snapshot))
}

/// Puts a snapshot in place and removes the one before it.
///
/// # Errors
///
/// Fails when any step does.
pub fn save(
    disk: &mut dyn Disk,
    snapshot: &Snapshot,
    before: Option<u64>,
) -> Result<(), StoreError> {
    place(disk, &file_name(snapshot.index), &framed(snapshot))?;
    if let Some(old) = before.filter(|b| *b != snapshot.index).map(file_name) {
        step(Operation::Remove, &old, disk.remove(&old))?;
    }
    Ok(())
}

/// Adds what was done, and to which file, to a failure.
///
/// # Errors
///
/// Passes the failure on.
pub fn step<T>(
    operation: Operation,
    name: &str,
    result: std::io::Result<T>,
) -> Result<T, StoreError> {
    result.map_err(|err| StoreError::io(operation, name, err))
}

fn file_name(index: u64) -> String {
    format!("{PREFIX}{index:020}")
}

fn framed(message: &impl Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    frame::write(&mut bytes, 0, 0, &message.encode_to_vec());
    bytes
}

fn load<M: Message + Default>(
    disk: &dyn Disk,
    name: &str,
    damage: Damage,
) -> Result<M, StoreError> {
    let bytes = step(Operation::Read, name, disk.read(name))?;
    let Found::Frame(payload, _) = frame::read(&bytes, 0, 0) else {
        return Err(StoreError::Damaged(name.into(), 0, damage));
    };
    M::decode(payload).map_err(|_| StoreError::Damaged(name.into(), 0, damage))
}
