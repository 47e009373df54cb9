//! Which flawed entries of the store are told, and when.

use laburnumwheel_gateway::flaw::Changes;
use laburnumwheel_gateway::flaw::Flaw;
use laburnumwheel_gateway::flaw::Kind;
use laburnumwheel_gateway::flaw::Subject;
use laburnumwheel_gateway::flaw::Told;

fn flaw(key: &str, kind: Kind) -> Flaw {
    Flaw { subject: Subject::Replica, key: key.to_owned(), kind }
}

#[test]
fn a_flaw_is_told_when_it_appears_changes_and_goes() {
    let mut told = Told::default();
    let (cut, odd) = (flaw("a", Kind::Bytes), flaw("a", Kind::State));

    let seen = [vec![cut.clone()], vec![cut.clone()], vec![odd.clone()], vec![], vec![]];
    let changes = seen.map(|found| told.update(&found));

    let came = |flaw| Changes { came: vec![flaw], ..Changes::default() };
    let went = Changes { went: vec![odd.clone()], ..Changes::default() };
    assert_eq!(changes, [came(cut), Changes::default(), came(odd), went, Changes::default()]);
}

/// A writer gone wild leaves thousands of stray entries. Logged one by one at each read they fill
/// the log, and what matters is dropped; remembered one by one they fill the memory.
#[test]
fn of_very_many_flaws_only_some_are_told_and_only_once() {
    let mut told = Told::default();
    let many: Vec<Flaw> = (0..5_000).map(|i| flaw(&format!("i-{i:04}"), Kind::Field)).collect();

    let first = told.update(&many);
    let second = told.update(&many);

    assert_eq!((first.came.len(), first.more), (64, Some(4_936)));
    assert_eq!(second, Changes::default());
}
