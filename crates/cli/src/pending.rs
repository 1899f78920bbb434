//! Saves a change next to its catalogue file until its result is known.
//!
//! A resend must be identical to the first send, but the catalogue may have changed in between,
//! so the change can't be computed again.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use prost::Message;
use wire::catalogue::Change;

use crate::error::CliError;

/// File extension of a saved change.
const SUFFIX: &str = "change";

/// A change whose result is not known yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Pending {
    /// The change to send.
    pub change: Change,
    /// The catalogue file that the change was computed from; the change is saved next to it.
    pub file: PathBuf,
}

impl Pending {
    /// Loads the change `id` saved next to `file`; `None` when there is none.
    ///
    /// # Errors
    ///
    /// Fails when the saved change can't be read or has another id.
    pub fn load(file: &Path, id: &str) -> Result<Option<Self>, CliError> {
        let path = saved_path(file, id);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(err) if err.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(err) => return Err(CliError::File(path, err)),
        };
        match Change::decode(bytes.as_slice()) {
            Ok(change) if change.id == id => Ok(Some(Self {
                change,
                file: file.into(),
            })),
            _ => Err(CliError::InvalidSavedChange(path)),
        }
    }

    /// Saves the change. It outlives a loss of power, after which it is resent as it was.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written or synced.
    pub fn save(&self) -> Result<(), CliError> {
        let path = saved_path(&self.file, &self.change.id);
        store::folder::replace_file(&path, &self.change.encode_to_vec())
            .map_err(|err| CliError::File(path, err))
    }

    /// Removes the saved change.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be removed.
    pub fn remove(&self) -> Result<(), CliError> {
        let path = saved_path(&self.file, &self.change.id);
        fs::remove_file(&path).map_err(|err| CliError::File(path, err))
    }
}

fn saved_path(file: &Path, id: &str) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(format!(".{id}.{SUFFIX}"));
    name.into()
}
