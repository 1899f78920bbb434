//! Measures the size of the changes that the operator's client sends.

use prost::Message;
use wire::catalogue::Change;

use crate::row::Row;
use crate::system;
use crate::usage;

const EDITS: [usize; 3] = [1, 10, 130];

/// Measures the encoded size of changes with each number of edits.
pub fn run() -> Vec<Row> {
    EDITS.into_iter().map(measure).collect()
}

fn measure(edits: usize) -> Row {
    let change = Change {
        id: uuid::Uuid::nil().to_string(),
        base: 1_400,
        author: "anna".into(),
        edits: (0..edits).map(|i| system::put_edit(i, 1)).collect(),
    };
    Row::new("operator", "change")
        .at("edits", usage::float(edits as u64))
        .with("bytes", usage::float(change.encoded_len() as u64))
}
