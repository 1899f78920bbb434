//! The sections `[log]` and `[metrics]`, the same in every daemon's settings.

use std::fmt;
use std::net::SocketAddr;

use conf::Reader;
use conf::value::log_level::Level;

const LOG: &str = "log";
const METRICS: &str = "metrics";

/// What is logged, and where metrics go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Least level that is logged.
    pub level: Level,
    /// Where metrics go, over UDP; nowhere when there is none.
    pub sink: Option<SocketAddr>,
}

impl Settings {
    /// Reads both sections; faults are noted in `reader`.
    #[must_use]
    pub fn read(reader: &mut Reader) -> Self {
        Self {
            level: reader.or(LOG, "level", Level::default()),
            sink: reader.optional(METRICS, "sink"),
        }
    }
}

/// The sections as INI, which [`Settings::read`] reads again.
impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[{LOG}]")?;
        writeln!(f, "level = {}", self.level)?;
        if let Some(sink) = self.sink {
            writeln!(f, "\n[{METRICS}]")?;
            writeln!(f, "sink = {sink}")?;
        }
        Ok(())
    }
}
