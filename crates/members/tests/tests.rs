//! Tests of the membership, built as one binary.

mod common;
mod test_confirm;
mod test_gossip;
mod test_members;
mod test_partition;
mod test_ring;
