//! Smooth weighted round robin over the services of a target.
//!
//! Each selection adds to the credit of every service its weight, and subtracts the sum of the
//! weights from the credit of the selected one. Unlike with random selection, the count of a
//! service is within one of its share after any number of selections.

use base::prelude::*;

use crate::model::WeightedService;

/// The state of the selection for one target.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Selects the next service; none if all weights are 0.
    pub fn next<'a>(&mut self, parts: &'a [WeightedService]) -> Option<&'a ServiceName> {
        self.credits.resize(parts.len(), 0);
        let mut sum = 0;
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
            sum += i64::from(part.weight);
        }
        let weighted = (0..parts.len()).filter(|i| parts[*i].weight > 0);
        let index = weighted.max_by_key(|i| (self.credits[*i], std::cmp::Reverse(*i)))?;
        self.credits[index] -= sum;
        Some(&parts[index].service)
    }
}
