//! The sections `[log]` and `[metrics]` of every daemon's settings.

use std::fmt;
use std::net::SocketAddr;

use conf::Reader;
use conf::value::log_level::Level;

const LOG_SECTION: &str = "log";
const METRICS_SECTION: &str = "metrics";
/// Default for [`Settings::rate`]: three lines for each of 500 requests a second. A hundred lines
/// a second take a thousandth of a core.
const DEFAULT_RATE: u32 = 1_500;

/// Settings for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Minimum level that is logged.
    pub level: Level,
    /// Maximum number of log lines per second; further ones are dropped and counted.
    pub rate: u32,
    /// Address to which metrics are sent over UDP; not sent when `None`.
    pub sink: Option<SocketAddr>,
    /// Address on which metrics are served over HTTP; not served when `None`.
    pub listen: Option<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            level: Level::default(),
            rate: DEFAULT_RATE,
            sink: None,
            listen: None,
        }
    }
}

impl Settings {
    /// Reads both sections; errors are collected in `reader`.
    #[must_use]
    pub fn read(reader: &mut Reader) -> Self {
        Self {
            level: reader.or(LOG_SECTION, "level", Level::default()),
            rate: reader.or(LOG_SECTION, "rate", DEFAULT_RATE),
            sink: reader.optional(METRICS_SECTION, "sink"),
            listen: reader.optional(METRICS_SECTION, "listen"),
        }
    }
}

/// Writes the sections as INI text that [`Settings::read`] accepts.
impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[{LOG_SECTION}]")?;
        writeln!(f, "level = {}", self.level)?;
        writeln!(f, "rate = {}", self.rate)?;
        if self.sink.is_some() || self.listen.is_some() {
            writeln!(f, "\n[{METRICS_SECTION}]")?;
        }
        if let Some(sink) = self.sink {
            writeln!(f, "sink = {sink}")?;
        }
        if let Some(listen) = self.listen {
            writeln!(f, "listen = {listen}")?;
        }
        Ok(())
    }
}
