//! Shares requests out among the parts of a split, in proportion at all times.
//!
//! Smooth weighted turns: each choice raises every part's credit by its weight
//! and takes the sum from the chosen one. So after any number of choices a
//! part's count is within one of its share, which random draws are not.

use base::prelude::*;

use crate::model::WeightedService;

/// The turns of one split.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// The part whose turn it is; none when nothing has a weight.
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
