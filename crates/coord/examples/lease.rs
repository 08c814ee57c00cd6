//! Two instances and one lease: the first holds it, ends, and the second takes over.

use base::{Incarnation, Time};
use coord::{Lease, LeaseTiming, WriteOutcome, lease_chart};

fn main() {
    let chart = lease_chart().expect("the chart in the sources");
    let terms = LeaseTiming::default();
    let mut one = Lease::new(chart.clone(), "one".into(), Incarnation(1), terms);
    let mut two = Lease::new(chart, "two".into(), Incarnation(1), terms);

    // The table is a variable here; a program would write the row if its version is as expected.
    one.on_read(Time::ZERO, None);
    let write = one
        .next_write(Time::ZERO, true, false)
        .expect("a first write");
    let table = Some((1, write.row));
    one.on_write_outcome(Time::from_millis(5), WriteOutcome::Applied(1));
    println!("one holds it: {}", one.is_held(Time::from_millis(5)));

    two.on_read(Time::from_secs(1), table);
    let early = two.next_write(Time::from_secs(1), true, false);
    println!("two may take it while one lives: {}", early.is_some());
    let late = two.next_write(Time::from_secs(60), true, true);
    let epoch = late.map(|write| write.row.epoch);
    println!("two may take it once one is proved to have ended, in epoch {epoch:?}");
}
