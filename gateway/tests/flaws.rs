//! Which malformed entries of the store are logged, and when.

use laburnumwheel_gateway::flaw::Changes;
use laburnumwheel_gateway::flaw::Flaw;
use laburnumwheel_gateway::flaw::Kind;
use laburnumwheel_gateway::flaw::Subject;
use laburnumwheel_gateway::flaw::Tracker;

fn flaw(key: &str, kind: Kind) -> Flaw {
    Flaw { subject: Subject::Replica, key: key.to_owned(), kind }
}

#[test]
fn flaw_is_reported_when_it_appears_changes_and_ends() {
    let mut tracker = Tracker::default();
    let (cut, odd) = (flaw("a", Kind::Bytes), flaw("a", Kind::State));

    let seen = [vec![cut.clone()], vec![cut.clone()], vec![odd.clone()], vec![], vec![]];
    let changes = seen.map(|found| tracker.update(&found));

    let appeared = |flaw| Changes { appeared: vec![flaw], ..Changes::default() };
    let resolved = Changes { resolved: vec![odd.clone()], ..Changes::default() };
    assert_eq!(
        changes,
        [appeared(cut), Changes::default(), appeared(odd), resolved, Changes::default()]
    );
}

/// A faulty program writes thousands of malformed entries. Logging each of them at each read would
/// crowd out important log lines, and tracking each of them would exhaust the memory.
#[test]
fn of_very_many_flaws_only_some_are_reported_and_only_once() {
    let mut tracker = Tracker::default();
    let many: Vec<Flaw> = (0..5_000).map(|i| flaw(&format!("i-{i:04}"), Kind::Field)).collect();

    let first = tracker.update(&many);
    let second = tracker.update(&many);

    assert_eq!((first.appeared.len(), first.untracked), (64, Some(4_936)));
    assert_eq!(second, Changes::default());
}
