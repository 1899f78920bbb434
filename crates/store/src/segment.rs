//! The segment files of the log.

const PREFIX: &str = "log-";

/// One segment file of the log.
#[derive(Clone, Copy, Debug)]
pub struct Segment {
    /// The position in the sequence of segments, which starts with 1.
    pub number: u64,
    /// The size in bytes.
    pub length: u64,
    /// The highest entry index ever written to the segment.
    pub highest_index: u64,
}

impl Segment {
    /// An empty segment.
    #[must_use]
    pub fn new(number: u64) -> Self {
        Self {
            number,
            length: 0,
            highest_index: 0,
        }
    }

    /// The file's name.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{PREFIX}{:020}", self.number)
    }
}

/// Returns the number of the segment with this file name, if it is one's.
#[must_use]
pub fn parse_number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}
