//! Whole groups of replicas on plain values: random schedules, and tables of faults.

mod cluster;
mod test_disks;
mod test_faults;
mod test_groups;
mod test_schedules;
