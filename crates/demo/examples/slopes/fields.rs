//! The key=value lines that the processes of a run say to each other.

use std::net::SocketAddr;

use crate::fault::Fault;

/// One line of key=value pairs apart by spaces.
#[derive(Clone, Debug)]
pub struct Fields(String);

impl Fields {
    /// Takes a line.
    pub fn new(line: String) -> Self {
        Self(line)
    }

    /// The line's first word, which names a command.
    pub fn word(&self) -> &str {
        self.0.split(' ').next().unwrap_or_default()
    }

    /// The text of `key`.
    ///
    /// # Errors
    ///
    /// Fails when the line has no such key.
    pub fn text(&self, key: &str) -> Result<&str, Fault> {
        let pairs = self.0.split(' ').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(name, _)| *name == key);
        found.next().map(|(_, text)| text).ok_or_else(|| self.bad())
    }

    /// The number of `key`.
    ///
    /// # Errors
    ///
    /// Fails when the line has no such key, or no number there.
    pub fn number(&self, key: &str) -> Result<u64, Fault> {
        self.text(key)?.parse().map_err(|_| self.bad())
    }

    /// The address of `key`.
    ///
    /// # Errors
    ///
    /// Fails when the line has no such key, or no address there.
    pub fn address(&self, key: &str) -> Result<SocketAddr, Fault> {
        self.text(key)?.parse().map_err(|_| self.bad())
    }

    /// The addresses of `key`, apart by commas.
    ///
    /// # Errors
    ///
    /// Fails when the line has no such key, or something else than addresses there.
    pub fn addresses(&self, key: &str) -> Result<Vec<SocketAddr>, Fault> {
        let texts = self.text(key)?.split(',').filter(|t| !t.is_empty());
        texts.map(|t| t.parse().map_err(|_| self.bad())).collect()
    }

    fn bad(&self) -> Fault {
        Fault::Role(self.0.clone())
    }
}

/// Addresses apart by commas.
pub fn join(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    texts.join(",")
}
