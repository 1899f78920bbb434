//! Whom to ask: from the command line, else from the client's settings file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use conf::Reader;
use conf::value::Text;

use crate::error::CliError;
use crate::flags::Flag;
use crate::flags::UsageError;
use crate::flags::Words;

/// The section of the settings file.
const SECTION: &str = "rwrctl";
/// Longest wait for one answer, unless set.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The author of changes, unless set.
const AUTHOR: &str = "operator";

/// What the environment says.
#[derive(Clone, Debug, Default)]
pub struct Defaults {
    /// The settings file.
    pub config: Option<PathBuf>,
    /// The author of changes.
    pub author: Option<String>,
}

/// Whom to ask, and as whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Control replicas; one that answers is enough.
    pub control: Vec<SocketAddr>,
    /// Directories; one that answers is enough.
    pub directory: Vec<SocketAddr>,
    /// Hubs, in the order in which they are asked.
    pub hub: Vec<SocketAddr>,
    /// One gateway's address for operators.
    pub gateway: Option<SocketAddr>,
    /// The author of changes.
    pub author: String,
    /// Longest wait for one answer.
    pub timeout: Duration,
}

impl Settings {
    /// Takes the flags that say whom to ask, and the file for what they leave out.
    ///
    /// # Errors
    ///
    /// Fails on a flag or a file with a wrong form.
    pub fn take(words: &mut Words, defaults: &Defaults) -> Result<Self, CliError> {
        let file = words.value::<PathBuf>(Flag::Config)?;
        let mut settings = Self::read(file.or_else(|| defaults.config.clone()), defaults)?;
        if let Some(control) = words.list(Flag::Control)? {
            settings.control = control;
        }
        if let Some(directory) = words.list(Flag::Directory)? {
            settings.directory = directory;
        }
        if let Some(hub) = words.list(Flag::Hub)? {
            settings.hub = hub;
        }
        if let Some(gateway) = words.value(Flag::Gateway)? {
            settings.gateway = Some(gateway);
        }
        if let Some(author) = words.text(Flag::Author) {
            settings.author = author;
        }
        if let Some(timeout) = words.value(Flag::Timeout)? {
            settings.timeout = timeout;
        }
        Ok(settings)
    }

    fn read(file: Option<PathBuf>, defaults: &Defaults) -> Result<Self, CliError> {
        let author = defaults.author.clone().unwrap_or_else(|| AUTHOR.into());
        let mut settings = Self {
            control: Vec::new(),
            directory: Vec::new(),
            hub: Vec::new(),
            gateway: None,
            author,
            timeout: TIMEOUT,
        };
        let Some(file) = file else {
            return Ok(settings);
        };
        let mut reader = Reader::open(&file).map_err(CliError::Settings)?;
        settings.control = reader.list(SECTION, "control");
        settings.directory = reader.list(SECTION, "directory");
        settings.hub = reader.list(SECTION, "hub");
        settings.gateway = reader.optional(SECTION, "gateway");
        settings.timeout = reader.or(SECTION, "timeout", TIMEOUT);
        if let Some(Text(author)) = reader.optional(SECTION, "author") {
            settings.author = author;
        }
        reader.finish().map_err(CliError::Settings)?;
        Ok(settings)
    }

    /// The control replicas, at least one.
    ///
    /// # Errors
    ///
    /// Fails when none is set.
    pub fn control(&self) -> Result<&[SocketAddr], UsageError> {
        some(&self.control, "--control ADDRESS")
    }

    /// The directories, at least one.
    ///
    /// # Errors
    ///
    /// Fails when none is set.
    pub fn directory(&self) -> Result<&[SocketAddr], UsageError> {
        some(&self.directory, "--directory ADDRESS")
    }

    /// The hubs, at least one.
    ///
    /// # Errors
    ///
    /// Fails when none is set.
    pub fn hub(&self) -> Result<&[SocketAddr], UsageError> {
        some(&self.hub, "--hub ADDRESS")
    }

    /// The gateway.
    ///
    /// # Errors
    ///
    /// Fails when none is set.
    pub fn gateway(&self) -> Result<SocketAddr, UsageError> {
        self.gateway.ok_or(UsageError::Missing("--gateway ADDRESS"))
    }
}

fn some<'a>(
    addresses: &'a [SocketAddr],
    what: &'static str,
) -> Result<&'a [SocketAddr], UsageError> {
    if addresses.is_empty() {
        return Err(UsageError::Missing(what));
    }
    Ok(addresses)
}
