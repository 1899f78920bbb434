//! Client settings, from the command line or else from the settings file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use conf::Reader;
use conf::value::Text;

use crate::error::CliError;
use crate::flags::Arguments;
use crate::flags::Flag;
use crate::flags::UsageError;

/// The section of the settings file.
const SECTION: &str = "rwrctl";
/// Default for [`Settings::timeout`].
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Author of changes when neither an option, the settings file nor the environment names one.
const DEFAULT_AUTHOR: &str = "operator";

/// Defaults from the environment.
#[derive(Clone, Debug, Default)]
pub struct Defaults {
    /// The settings file.
    pub config: Option<PathBuf>,
    /// The author of changes.
    pub author: Option<String>,
}

/// The addresses of the daemons, and how to call them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Control replicas, in the order in which they are called.
    pub control: Vec<SocketAddr>,
    /// Directories, in the order in which they are called.
    pub directory: Vec<SocketAddr>,
    /// Hubs, in the order in which they are called.
    pub hub: Vec<SocketAddr>,
    /// Operator address of one gateway.
    pub gateway: Option<SocketAddr>,
    /// The author of changes.
    pub author: String,
    /// Maximum time to wait for one reply.
    pub timeout: Duration,
}

impl Settings {
    /// Takes the connection options from `arguments`, and the rest from the settings file.
    ///
    /// # Errors
    ///
    /// Fails when an option or the file is invalid.
    pub fn resolve(arguments: &mut Arguments, defaults: &Defaults) -> Result<Self, CliError> {
        let file = arguments.take_value::<PathBuf>(Flag::Config)?;
        let mut settings = Self::from_file(file.or_else(|| defaults.config.clone()), defaults)?;
        if let Some(control) = arguments.take_list(Flag::Control)? {
            settings.control = control;
        }
        if let Some(directory) = arguments.take_list(Flag::Directory)? {
            settings.directory = directory;
        }
        if let Some(hub) = arguments.take_list(Flag::Hub)? {
            settings.hub = hub;
        }
        if let Some(gateway) = arguments.take_value(Flag::Gateway)? {
            settings.gateway = Some(gateway);
        }
        if let Some(author) = arguments.take_text(Flag::Author) {
            settings.author = author;
        }
        if let Some(timeout) = arguments.take_value(Flag::Timeout)? {
            settings.timeout = timeout;
        }
        Ok(settings)
    }

    fn from_file(file: Option<PathBuf>, defaults: &Defaults) -> Result<Self, CliError> {
        let author = defaults
            .author
            .clone()
            .unwrap_or_else(|| DEFAULT_AUTHOR.into());
        let mut settings = Self {
            control: Vec::new(),
            directory: Vec::new(),
            hub: Vec::new(),
            gateway: None,
            author,
            timeout: DEFAULT_TIMEOUT,
        };
        let Some(file) = file else {
            return Ok(settings);
        };
        let mut reader = Reader::open(&file).map_err(CliError::Settings)?;
        settings.control = reader.list(SECTION, "control");
        settings.directory = reader.list(SECTION, "directory");
        settings.hub = reader.list(SECTION, "hub");
        settings.gateway = reader.optional(SECTION, "gateway");
        settings.timeout = reader.or(SECTION, "timeout", DEFAULT_TIMEOUT);
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
        require_any(&self.control, "--control ADDRESS")
    }

    /// The directories, at least one.
    ///
    /// # Errors
    ///
    /// Fails when none is set.
    pub fn directory(&self) -> Result<&[SocketAddr], UsageError> {
        require_any(&self.directory, "--directory ADDRESS")
    }

    /// The hubs, at least one.
    ///
    /// # Errors
    ///
    /// Fails when none is set.
    pub fn hub(&self) -> Result<&[SocketAddr], UsageError> {
        require_any(&self.hub, "--hub ADDRESS")
    }

    /// The gateway.
    ///
    /// # Errors
    ///
    /// Fails when none is set.
    pub fn gateway(&self) -> Result<SocketAddr, UsageError> {
        self.gateway
            .ok_or(UsageError::MissingArgument("--gateway ADDRESS"))
    }
}

fn require_any<'a>(
    addresses: &'a [SocketAddr],
    what: &'static str,
) -> Result<&'a [SocketAddr], UsageError> {
    if addresses.is_empty() {
        return Err(UsageError::MissingArgument(what));
    }
    Ok(addresses)
}
