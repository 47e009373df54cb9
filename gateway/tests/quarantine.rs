//! Stored records of the quarantine, as an operator may edit them.

mod support;

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::quarantine::feature::Feature;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::quarantine;
use laburnumwheel_gateway::quarantine::Crash;
use laburnumwheel_gateway::quarantine::Entry;
use laburnumwheel_gateway::quarantine::Record;

use crate::support::Action;
use crate::support::Replica;
use crate::support::gateway_with;
use crate::support::response;
use crate::support::run;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The record of a part with three crashes in the last minute.
fn record(released: Option<u64>) -> Record {
    let crash = |n: u32| Crash { replica: Digest(n), at: unix_ms() - 10_000 * u64::from(n) };
    Record {
        fingerprint: Fingerprint(Feature::part(7).0),
        crashes: (1..4).map(crash).collect(),
        common: Some(Vec::new()),
        released,
    }
}

fn parts_after(running: &Running, record: Record) -> usize {
    quarantine::restore(&running.shared, &Entry { revision: 1, records: vec![record] });
    running.shared.gateway.borrow().parts_quarantined(clock::now())
}

/// An operator ends the quarantine of a part by a time in its record.
#[test]
fn released_record_ends_the_quarantine_of_a_part() {
    run(async {
        let replica = Replica::start(vec![Action::Write(response("200 OK", "answer"))]).await;
        let running = gateway_with(&[&replica]).await;

        let before = parts_after(&running, record(None));
        let after = parts_after(&running, record(Some(unix_ms())));
        let again = parts_after(&running, record(None));

        assert_eq!((before, after, again), (1, 0, 0));
    });
}
