//! A change that was sent and has no answer yet, kept beside its file.
//!
//! A resend must be the same to the byte, while the catalogue has moved on
//! since. So the change is saved before it is sent, and removed once its
//! answer is known.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use prost::Message;
use wire::catalogue::Change;

use crate::error::CliError;

/// Last part of a saved change's name.
const SUFFIX: &str = "change";

/// One change and where it is saved.
#[derive(Clone, Debug, PartialEq)]
pub struct Pending {
    /// The change as it is sent.
    pub change: Change,
    /// The catalogue file that it was made of.
    pub file: PathBuf,
}

impl Pending {
    /// The change of `id` that was saved beside `file`, when there is one.
    ///
    /// # Errors
    ///
    /// Fails when it can't be read.
    pub fn find(file: &Path, id: &str) -> Result<Option<Self>, CliError> {
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
            _ => Err(CliError::Saved(path)),
        }
    }

    /// Saves the change.
    ///
    /// # Errors
    ///
    /// Fails when it can't be written.
    pub fn save(&self) -> Result<(), CliError> {
        let path = saved_path(&self.file, &self.change.id);
        fs::write(&path, self.change.encode_to_vec()).map_err(|err| CliError::File(path, err))
    }

    /// Removes the saved change.
    ///
    /// # Errors
    ///
    /// Fails when it can't be removed.
    pub fn forget(&self) -> Result<(), CliError> {
        let path = saved_path(&self.file, &self.change.id);
        fs::remove_file(&path).map_err(|err| CliError::File(path, err))
    }
}

fn saved_path(file: &Path, id: &str) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(format!(".{id}.{SUFFIX}"));
    name.into()
}
