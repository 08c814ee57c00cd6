//! Division of a route's requests among its services.

use base::WeightedService;
use rand::{Rng, RngExt};

/// Divides requests among services by smooth weighted round robin: each pick credits every service
/// with its share of the weights and takes one credit from the service with the most.
///
/// Each instance begins at a random point of the round. If all began at the same one, the first few
/// requests of every instance would go to the same service.
#[derive(Debug)]
pub(super) struct WeightedSplit {
    services: Vec<WeightedService>,
    /// Credits of the services, in the route's order.
    credits: Vec<f64>,
}

/// Maximum number of picks between the two ends of the range in which a round begins.
const MAX_START: u32 = 1_000;

impl WeightedSplit {
    /// Returns a split that begins at a random point of its round.
    pub(super) fn new<R>(rng: &mut R, services: &[WeightedService]) -> Self
    where
        R: Rng,
    {
        let mut split = Self {
            services: services.to_vec(),
            credits: vec![0.0; services.len()],
        };
        let round = total_weight(services).clamp(1, MAX_START);
        for _ in 0..rng.random_range(0..round) {
            split.pick();
        }
        split
    }

    /// Returns whether the split is among these services, with these weights; the credits of others say
    /// nothing of them.
    pub(super) fn is_among(&self, services: &[WeightedService]) -> bool {
        self.services == services
    }

    /// Returns the position of the next request's service, or `None` without any services.
    pub(super) fn pick(&mut self) -> Option<usize> {
        let total = f64::from(total_weight(&self.services).max(1));
        for (credit, weighted) in self.credits.iter_mut().zip(&self.services) {
            *credit += f64::from(weighted.weight) / total;
        }
        let positions = 0..self.credits.len();
        let largest = positions.max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[largest] -= 1.0;
        Some(largest)
    }
}

fn total_weight(services: &[WeightedService]) -> u32 {
    let weights = services.iter().map(|weighted| weighted.weight);
    weights.fold(0, u32::saturating_add)
}
