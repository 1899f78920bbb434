//! The key=value lines that the processes of a run exchange.

use std::net::SocketAddr;

use crate::fault::MeasureError;

/// One line of key=value pairs separated by spaces.
#[derive(Clone, Debug)]
pub struct Fields(String);

impl Fields {
    /// Wraps a line.
    pub fn new(line: String) -> Self {
        Self(line)
    }

    /// The first word of the line, which is the name of a command.
    pub fn command_name(&self) -> &str {
        self.0.split(' ').next().unwrap_or_default()
    }

    /// The value of `key`.
    ///
    /// # Errors
    ///
    /// Fails if the line has no such key.
    pub fn value(&self, key: &str) -> Result<&str, MeasureError> {
        let pairs = self.0.split(' ').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(name, _)| *name == key);
        found
            .next()
            .map(|(_, value)| value)
            .ok_or_else(|| self.invalid_line())
    }

    /// The value of `key` as a number.
    ///
    /// # Errors
    ///
    /// Fails if the line has no such key, or the value is no number.
    pub fn number(&self, key: &str) -> Result<u64, MeasureError> {
        self.value(key)?.parse().map_err(|_| self.invalid_line())
    }

    /// The value of `key` as an address.
    ///
    /// # Errors
    ///
    /// Fails if the line has no such key, or the value is no address.
    pub fn address(&self, key: &str) -> Result<SocketAddr, MeasureError> {
        self.value(key)?.parse().map_err(|_| self.invalid_line())
    }

    /// The value of `key` as addresses separated by commas.
    ///
    /// # Errors
    ///
    /// Fails if the line has no such key, or a part of the value is no address.
    pub fn addresses(&self, key: &str) -> Result<Vec<SocketAddr>, MeasureError> {
        let values = self.value(key)?.split(',').filter(|t| !t.is_empty());
        values
            .map(|t| t.parse().map_err(|_| self.invalid_line()))
            .collect()
    }

    fn invalid_line(&self) -> MeasureError {
        MeasureError::Role(self.0.clone())
    }
}

/// Joins addresses with commas.
pub fn join(addresses: &[SocketAddr]) -> String {
    let values: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    values.join(",")
}
