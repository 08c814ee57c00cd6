//! Two instances share a lease: the first acquires it and ends, then the second takes over.

use base::{Incarnation, Position, Time};
use coord::{Lease, LeaseTiming, WriteOutcome, lease_chart};

fn main() {
    let chart = lease_chart().expect("the built-in lease chart is valid");
    let timing = LeaseTiming::default();
    let mut one = Lease::new(chart.clone(), "one".into(), Incarnation(1), timing);
    let mut two = Lease::new(chart, "two".into(), Incarnation(1), timing);

    // Here the table is a variable; a real program would compare and swap the row by its version.
    one.on_read(Time::ZERO, None);
    let write = one
        .next_write(Time::ZERO, true, false)
        .expect("a free lease is acquired at once");
    let version = Position::from(1);
    let table = Some((version, write.row));
    one.on_write_outcome(Time::from_millis(5), WriteOutcome::Applied(version));
    println!("one holds the lease: {}", one.is_held(Time::from_millis(5)));

    two.on_read(Time::from_secs(1), table);
    let early = two.next_write(Time::from_secs(1), true, false);
    println!("two may take over while one is alive: {}", early.is_some());
    let late = two.next_write(Time::from_secs(60), true, true);
    let epoch = late.map(|write| write.row.epoch);
    println!("two may take over after one has ended, in epoch {epoch:?}");
}
