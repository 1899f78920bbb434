//! The sections `[log]` and `[metrics]`, the same in every daemon's settings.

use std::fmt;
use std::net::SocketAddr;

use conf::Reader;
use conf::value::log_level::Level;

const LOG: &str = "log";
const METRICS: &str = "metrics";
/// Lines a second, by default: three for each of 500 requests, at a thousandth of a
/// core for a hundred lines.
const RATE: u32 = 1_500;

/// What is logged, and where metrics go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Least level that is logged.
    pub level: Level,
    /// Lines a second; more are left out and counted.
    pub rate: u32,
    /// Where metrics go, over UDP; nowhere when there is none.
    pub sink: Option<SocketAddr>,
    /// Where metrics are asked for, over HTTP; nowhere when there is none.
    pub listen: Option<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            level: Level::default(),
            rate: RATE,
            sink: None,
            listen: None,
        }
    }
}

impl Settings {
    /// Reads both sections; faults are noted in `reader`.
    #[must_use]
    pub fn read(reader: &mut Reader) -> Self {
        Self {
            level: reader.or(LOG, "level", Level::default()),
            rate: reader.or(LOG, "rate", RATE),
            sink: reader.optional(METRICS, "sink"),
            listen: reader.optional(METRICS, "listen"),
        }
    }
}

/// The sections as INI, which [`Settings::read`] reads again.
impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[{LOG}]")?;
        writeln!(f, "level = {}", self.level)?;
        writeln!(f, "rate = {}", self.rate)?;
        if self.sink.is_some() || self.listen.is_some() {
            writeln!(f, "\n[{METRICS}]")?;
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
