//! All tests of the membership, as one binary that shares its makers.

mod common;
mod test_confirm;
mod test_gossip;
mod test_members;
mod test_partition;
mod test_ring;
