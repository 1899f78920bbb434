//! The identity and snapshot files, which are written atomically.

use prost::Message;
use wire::store::Identity;
use wire::store::Snapshot;

use crate::disk::Disk;
use crate::error::Damage;
use crate::error::Operation;
use crate::error::StoreError;
use crate::frame;
use crate::frame::ReadResult;
use crate::segment;

/// The name of the identity file.
pub const IDENTITY: &str = "identity";
/// The suffix of temporary files.
pub const TEMP_SUFFIX: &str = ".tmp";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Atomically writes `bytes` to the file `name` and syncs it.
///
/// # Errors
///
/// Fails if any step fails; the file may or may not have been replaced.
pub fn write_atomic(disk: &mut dyn Disk, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
    replace(disk, name, bytes)?;
    with_context(Operation::Sync, name, disk.sync_dir())
}

/// The same, except that the old contents may be found again until the folder is synced.
///
/// # Errors
///
/// Fails if any step fails; the file may or may not have been replaced.
pub fn replace(disk: &mut dyn Disk, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let temp_name = format!("{name}{TEMP_SUFFIX}");
    with_context(Operation::Create, &temp_name, disk.create(&temp_name))?;
    with_context(Operation::Write, &temp_name, disk.append(&temp_name, bytes))?;
    with_context(Operation::Sync, &temp_name, disk.sync(&temp_name))?;
    with_context(Operation::Rename, name, disk.rename(&temp_name, name))
}

/// Loads the identity, or stores `new` as the identity of an empty folder. Initial replicas that
/// `new` names replace the stored ones.
///
/// # Errors
///
/// Fails if the identity is damaged, or missing in a folder with a log or a snapshot.
pub fn load_or_create_identity(
    disk: &mut dyn Disk,
    names: &[String],
    new: Identity,
) -> Result<Identity, StoreError> {
    if names.iter().any(|n| n == IDENTITY) {
        let stored = load::<Identity>(disk, IDENTITY, Damage::Identity)?;
        if new.initial.is_empty() || new.initial == stored.initial {
            return Ok(stored);
        }
        let identity = Identity {
            id: stored.id,
            ..new
        };
        save_identity(disk, &identity)?;
        return Ok(identity);
    }
    let is_replica_file =
        |n: &String| n.starts_with(SNAPSHOT_PREFIX) || segment::parse_number(n).is_some();
    if names.iter().any(is_replica_file) {
        return Err(StoreError::Damaged(IDENTITY.into(), 0, Damage::Identity));
    }
    save_identity(disk, &new)?;
    Ok(new)
}

/// Stores the identity.
///
/// # Errors
///
/// Fails if any step fails; the old identity or the new one is stored.
pub fn save_identity(disk: &mut dyn Disk, identity: &Identity) -> Result<(), StoreError> {
    write_atomic(disk, IDENTITY, &encode_frame(identity))
}

/// Loads the newest snapshot; returns the names of older ones, too.
///
/// # Errors
///
/// Fails if the newest snapshot is damaged. Older ones can't replace it, because the log
/// that it covers may have been removed.
pub fn load_newest(
    disk: &dyn Disk,
    names: &[String],
) -> Result<(Option<Snapshot>, Vec<String>), StoreError> {
    let mut candidates: Vec<&String> = names
        .iter()
        .filter(|n| n.starts_with(SNAPSHOT_PREFIX))
        .collect();
    candidates.sort();
    let Some(name) = candidates.pop() else {
        return Ok((None, Vec::new()));
    };
    let snapshot = load(disk, name, Damage::Snapshot)?;
    Ok((Some(snapshot), candidates.into_iter().cloned().collect()))
}

/// Stores a snapshot and removes the `previous` one.
///
/// # Errors
///
/// Fails if any step fails.
pub fn save(
    disk: &mut dyn Disk,
    snapshot: &Snapshot,
    previous: Option<u64>,
) -> Result<(), StoreError> {
    write_atomic(disk, &file_name(snapshot.index), &encode_frame(snapshot))?;
    if let Some(old) = previous.filter(|b| *b != snapshot.index).map(file_name) {
        with_context(Operation::Remove, &old, disk.remove(&old))?;
    }
    Ok(())
}

/// Adds the operation and the file name to an I/O error.
///
/// # Errors
///
/// Returns the error of `result` with its context.
pub fn with_context<T>(
    operation: Operation,
    name: &str,
    result: std::io::Result<T>,
) -> Result<T, StoreError> {
    result.map_err(|err| StoreError::io(operation, name, err))
}

fn file_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}

fn encode_frame(message: &impl Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    frame::write(&mut bytes, 0, 0, &message.encode_to_vec());
    bytes
}

fn load<M: Message + Default>(
    disk: &dyn Disk,
    name: &str,
    damage: Damage,
) -> Result<M, StoreError> {
    let bytes = with_context(Operation::Read, name, disk.read(name))?;
    let ReadResult::Frame(payload, _) = frame::read(&bytes, 0, 0) else {
        return Err(StoreError::Damaged(name.into(), 0, damage));
    };
    M::decode(payload).map_err(|_| StoreError::Damaged(name.into(), 0, damage))
}
