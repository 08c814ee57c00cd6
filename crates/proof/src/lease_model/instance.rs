//! An instance as its task of the slots passes reads, answers and eras on to the lease.

use std::time::Duration;

use base::{Incarnation, InstanceId, Time};
use coord::{EraSettling, Lease, LeaseWrite, Member, Presence, WriteOutcome};
use daemon::fleet::{Fleet, FleetMember};

use super::{Flaw, LeaseModel, store::Standing};

/// Time for which a heartbeat shows its sender to be alive.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
const NAMES: [&str; 3] = ["a", "b", "c"];

/// One incarnation of an instance, with its own clock.
#[derive(Debug, Clone, Hash)]
pub(super) struct Instance {
    pub(super) lease: Lease,
    pub(super) incarnation: Incarnation,
    pub(super) was_held: bool,
    /// Time and era of a read whose answer is on its way, and the row at that time.
    pub(super) open_read: Option<(Time, u32, Standing)>,
    /// What the other instances' last heartbeats said.
    pub(super) heard: Vec<Option<Heard>>,
    write_answered_at: Time,
    settling: EraSettling,
    clock_rate: u64,
    number: usize,
}

/// What an instance knows by another one's last heartbeat.
#[derive(Debug, Clone, Copy, Hash)]
pub(super) struct Heard {
    pub(super) at: Time,
    pub(super) era: u32,
    pub(super) holds: bool,
}

impl Instance {
    pub(super) fn new(model: &LeaseModel, number: usize, incarnation: Incarnation) -> Self {
        let chart = model.chart.clone();
        Self {
            lease: Lease::new(chart, name(number), incarnation, model.timing),
            incarnation,
            was_held: false,
            write_answered_at: Time::ZERO,
            open_read: None,
            heard: vec![None; model.clock_rates.len()],
            settling: EraSettling::new(model.settling_timing).begun_in(model.begun_in),
            clock_rate: model.clock_rates[number],
            number,
        }
    }

    /// Returns the reading of this instance's clock.
    pub(super) fn local(&self, now: Time) -> Time {
        Time::from_micros(now.as_micros() * self.clock_rate / 1_000)
    }

    pub(super) fn learn(&mut self, model: &LeaseModel, local: Time, era: u32) {
        if model.flaw != Some(Flaw::ErasUnknown) {
            self.settling.on_era(local, era);
            self.lease.on_era(local, era);
        }
    }

    /// Processes a read of the row that began at `sent_at` in the present era, and returns the write that is due.
    pub(super) fn on_row(
        &mut self,
        model: &LeaseModel,
        local: Time,
        sent_at: Time,
        row: Standing,
    ) -> Option<LeaseWrite> {
        let since_era = row.as_ref().map(|(_, row)| row.since_era);
        let is_writing = self.lease.state() == coord::LeaseState::Writing;
        if sent_at >= self.write_answered_at && !is_writing {
            self.lease.on_read(local, row);
        }
        let fleet = self.fleet();
        self.settling.on_rows(since_era, fleet.has_holder(local));
        let all_know = model.flaw == Some(Flaw::SilenceCounts)
            || fleet.all_know_era(local, self.settling.era(), model.timing.ttl);
        self.settling.on_others(local, all_know);
        let is_settled = self.settling.is_settled(local);
        self.lease
            .set_settled(is_settled, self.settling.since_era());
        self.lease.next_write(local, true, false)
    }

    /// Processes the answer to a write, unless that was begun in an earlier era.
    pub(super) fn on_written(&mut self, local: Time, write: &LeaseWrite, outcome: WriteOutcome) {
        if write.row.era == self.lease.era() {
            self.lease.on_write_outcome(local, outcome);
            self.answered(local);
        }
    }

    /// Records that a write was answered, after which no read counts that began before.
    pub(super) fn answered(&mut self, local: Time) {
        if self.open_read.is_some() {
            self.write_answered_at = local;
        }
    }

    /// Forgets the heartbeats that don't show their senders to be alive any more.
    pub(super) fn forget_silent(&mut self, now: Time) {
        let local = self.local(now);
        for heard in &mut self.heard {
            *heard = heard.filter(|heard| local <= heard.at + HEARTBEAT_TIMEOUT);
        }
    }

    /// Returns what is known of the other instances, which are all on the list.
    fn fleet(&self) -> Fleet {
        let heard = self.heard.iter().enumerate();
        let others = heard.filter(|(number, _)| *number != self.number);
        let members = others.map(|(number, heard)| (name(number), state_of(*heard)));
        Fleet {
            members: members.collect(),
            ..Fleet::default()
        }
    }
}

fn name(number: usize) -> InstanceId {
    NAMES[number].into()
}

fn state_of(heard: Option<Heard>) -> FleetMember {
    let listed = Member {
        domain: "".into(),
        presence: Presence::Listed,
        is_leaving: false,
        last_heartbeat_at: None,
        heartbeat: None,
    };
    let unheard = FleetMember::new(&listed, None);
    let Some(heard) = heard else {
        return unheard;
    };
    FleetMember {
        alive_until: heard.at + HEARTBEAT_TIMEOUT,
        held_slots: Some(u32::from(heard.holds)),
        store_era: heard.era,
        ..unheard
    }
}
