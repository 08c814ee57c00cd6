//! The targets of a fleet: attempts that run on them, and how these end.

use std::collections::BTreeSet;

use dispatch::Assignment;
use rand::RngExt;

use super::{End, Event, ROUND_TRIP_MS, Running, World, target_id};

impl World<'_> {
    pub(super) fn send(&mut self, instance: usize, assignment: &Assignment) {
        let (id, attempt) = (assignment.id.0, assignment.attempt);
        let life = self.instances[instance].life;
        let target = (0..self.targets.len()).find(|idx| target_id(*idx) == assignment.target);
        let target = target.unwrap();
        if attempt == 1 {
            let due = assignment.hedge_delay.as_millis() as u64;
            self.push(due, Event::HedgeDue { instance, life, id });
        }
        if !self.targets[target].is_up {
            let end = End::Unreachable;
            self.push(
                ROUND_TRIP_MS,
                Event::End {
                    instance,
                    life,
                    id,
                    attempt,
                    end,
                },
            );
            return;
        }
        self.running.push(Running {
            instance,
            life,
            id,
            attempt,
            target,
        });
        let Some(visit) = self.instances[instance].requests.get(&id).copied() else {
            return;
        };
        if self.is_deadly(visit.fingerprint) {
            let disturbed = self.instances[instance].disturbed_ms;
            let is_in_touch = disturbed.is_none_or(|at| at + self.contact_ms < self.now_ms);
            let runs = self.runs.entry(visit.fingerprint).or_default();
            runs.push((self.now_ms, instance, is_in_touch));
            let fuse = self.rng.random_range(0..self.plan.fuse_ms);
            let incarnation = self.targets[target].incarnation;
            self.push(
                fuse,
                Event::Crash {
                    target,
                    incarnation,
                },
            );
        } else {
            let ms = self.rng.random_range(20..300);
            let end = End::Answered(ms);
            self.push(
                ms,
                Event::End {
                    instance,
                    life,
                    id,
                    attempt,
                    end,
                },
            );
        }
    }

    /// Ends the attempts that `is_lost` selects; their instances see their connections end.
    pub(super) fn lose<F>(&mut self, is_lost: F)
    where
        F: Fn(&Running) -> bool,
    {
        let (lost, kept): (Vec<_>, Vec<_>) = self.running.iter().partition(|one| is_lost(one));
        self.running = kept;
        for one in lost {
            if self.instances[one.instance].life == one.life {
                self.finish(one.instance, one.id, one.attempt, dispatch::Outcome::Lost);
            }
        }
    }

    pub(super) fn crash(&mut self, target: usize) {
        let deadly: BTreeSet<u64> = self
            .running
            .iter()
            .filter(|one| one.target == target)
            .filter_map(|one| self.instances[one.instance].requests.get(&one.id))
            .map(|visit| visit.fingerprint)
            .filter(|fingerprint| self.is_deadly(*fingerprint))
            .collect();
        for fingerprint in deadly {
            self.outcome.crashes += 1;
            self.crashed_ms
                .entry(fingerprint)
                .or_default()
                .push(self.now_ms);
        }
        self.targets[target].is_up = false;
        let back = self.rng.random_range(300..3_000);
        self.push(back, Event::TargetBack(target));
        self.lose(|one| one.target == target);
    }
}
