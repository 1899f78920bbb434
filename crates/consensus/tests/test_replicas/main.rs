//! Simulated groups of replicas: random schedules and individual faults.

mod cluster;
mod test_disks;
mod test_faults;
mod test_groups;
mod test_outage;
mod test_schedules;
mod test_slow_disks;
