//! What becomes of a world once nothing goes wrong any more.

use std::time::Duration;

use super::{Action, LeaseModel, World, pairs};

/// Time between two reads of an instance.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

impl LeaseModel {
    /// Returns the time after which the lease is held if everything arrives from now on, or `None` if it isn't within
    /// `limit`.
    ///
    /// Each second, the store performs what is open, and each instance receives from each other one and reads the row.
    pub fn recovery_time(&self, world: &World, limit: Duration) -> Option<Duration> {
        let mut world = world.clone();
        let start = world.now;
        loop {
            world = self.round(world);
            let passed = world.now - start;
            if !world.holders().is_empty() {
                return Some(passed);
            }
            if passed > limit {
                return None;
            }
            world.wait(self, POLL_INTERVAL);
        }
    }

    fn round(&self, mut world: World) -> World {
        let count = self.clock_rates.len();
        let reads = (0..count).flat_map(|idx| [Action::EndRead(idx), Action::Poll(idx)]);
        for action in pairs(count).chain(reads) {
            while !world.open_writes.is_empty() {
                world = self.after(&world, Action::Perform(0)).unwrap_or(world);
            }
            world = self.after(&world, action).unwrap_or(world);
        }
        world
    }
}
