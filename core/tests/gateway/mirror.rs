//! Copy of the store's items that is kept up to date by their changes.

use std::collections::BTreeMap;

use laburnumwheel_core::gateway::mirror::Change;
use laburnumwheel_core::gateway::mirror::Mirror;
use proptest::prelude::*;

const ERA: u64 = 1;
const PAGE_ITEMS: usize = 2;

/// A store whose changes are applied by the test.
#[derive(Default)]
struct Store {
    items: BTreeMap<String, (u64, u32)>,
    history: Vec<Change<u32>>,
    revision: u64,
}

impl Store {
    fn change(&mut self, key: u8, value: Option<u32>) {
        self.revision += 1;
        let key = key.to_string();
        match value {
            Some(value) => self.items.insert(key.clone(), (self.revision, value)),
            None => self.items.remove(&key),
        };
        self.history.push(Change { key, revision: self.revision, value });
    }

    fn changes_after(&self, known: u64) -> Vec<Change<u32>> {
        self.history.iter().filter(|change| change.revision > known).cloned().collect()
    }
}

fn items(mirror: &Mirror<u32>) -> BTreeMap<String, (u64, u32)> {
    mirror.items().map(|(key, revision, value)| (key.to_owned(), (revision, *value))).collect()
}

/// A copy of an empty store that took several pages.
fn mirror() -> Mirror<u32> {
    let mut mirror = Mirror::new(ERA);
    (0..3).for_each(|_| mirror.add_page(0));
    mirror
}

proptest! {
    /// Items change between the pages of a read, which are not a snapshot. Once the changes since
    /// the first page are applied, the copy must equal the store.
    #[test]
    fn a_copy_equals_the_store_after_its_changes(
        changes in proptest::collection::vec((0u8..6, proptest::option::of(0u32..9)), 0..40),
        per_page in 0usize..5,
    ) {
        let mut store = Store::default();
        let mut rest = changes.into_iter();
        rest.by_ref().take(10).for_each(|(key, value)| store.change(key, value));
        let mut mirror = Mirror::new(ERA);
        let mut after = String::new();
        loop {
            mirror.add_page(store.revision);
            let following = store.items.range(after.clone()..).filter(|(key, _)| **key > after);
            let page: Vec<_> = following.take(PAGE_ITEMS).collect();
            for (key, (revision, value)) in &page {
                mirror.insert((*key).clone(), *revision, *value);
            }
            match page.last() {
                Some((key, _)) => after = (*key).clone(),
                None => break,
            }
            rest.by_ref().take(per_page).for_each(|(key, value)| store.change(key, value));
        }
        rest.for_each(|(key, value)| store.change(key, value));

        (0..3).for_each(|_| mirror.add_page(store.revision));
        let known = mirror.position(ERA).unwrap();
        mirror.apply(store.changes_after(known), store.revision);

        prop_assert_eq!(items(&mirror), store.items);
        prop_assert_eq!(mirror.position(ERA), Some(store.revision));
    }
}

#[test]
fn a_small_store_is_read_whole() {
    let mut mirror: Mirror<u32> = Mirror::new(ERA);
    (0..2).for_each(|_| mirror.add_page(7));

    assert_eq!(mirror.position(ERA), None);
}

/// After a return of the store to an older copy, the same revisions stand for other changes.
#[test]
fn changes_of_another_era_do_not_suffice() {
    let mirror = mirror();

    assert_eq!(mirror.position(ERA), Some(0));
    assert_eq!(mirror.position(ERA + 1), None);
}

/// Changes may go silent for good while other calls are answered.
#[test]
fn three_failures_in_a_row_lead_to_a_read_of_everything() {
    let mut mirror = mirror();
    (0..2).for_each(|_| mirror.record_failure());
    mirror.apply(Vec::new(), 5);
    (0..2).for_each(|_| mirror.record_failure());

    let before = mirror.position(ERA);
    mirror.record_failure();

    assert_eq!(before, Some(5));
    assert_eq!(mirror.position(ERA), None);
}

/// A store loses every third answer. A read of fifty calls then never completes, so changes must be
/// tried again after one has failed.
#[test]
fn changes_are_tried_again_after_a_failed_read_of_everything() {
    let mut mirror = mirror();
    (0..3).for_each(|_| mirror.record_failure());
    let before = mirror.position(ERA);

    mirror.record_reread_failure();

    assert_eq!(before, None);
    assert_eq!(mirror.position(ERA), Some(0));
}
