//! Cells of a large fleet: sizes, and how little a change of one router moves.

use laburnumwheel_core::cell::Cells;
use laburnumwheel_core::cell::Group;
use laburnumwheel_core::cell::MAX_ROUTERS_WITHOUT_CELLS;
use laburnumwheel_core::config::GroupKey;

fn groups() -> Vec<Group> {
    let group = |i: u16| Group { key: GroupKey(i), name: format!("g{i}"), slots: 1_700 };
    (0..31).map(group).collect()
}

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("router-{i}")).collect()
}

fn cells(routers: &[String]) -> Cells {
    Cells::new(&groups(), &routers.iter().map(String::as_str).collect::<Vec<_>>())
}

#[test]
fn a_small_fleet_has_none() {
    let cells = cells(&names(MAX_ROUTERS_WITHOUT_CELLS));
    assert!(cells.serves(GroupKey(3), "router-1"));
    assert_eq!(cells.groups_of("router-1"), None);
}

#[test]
fn every_group_has_a_cell_and_routers_share_few() {
    // Act
    let routers = names(440);
    let cells = cells(&routers);

    // Assert
    let sizes = (0..31).map(|g| routers.iter().filter(|r| cells.serves(GroupKey(g), r)).count());
    assert!(sizes.clone().all(|n| (12..=30).contains(&n)), "{:?}", sizes.collect::<Vec<_>>());
    let sharers = routers.iter().map(|r| {
        let groups = cells.groups_of(r).unwrap_or_default();
        cells.routers(&groups).len()
    });
    let most = sharers.max().unwrap_or(0);
    println!("at most {most} sharers");
    assert!(most <= 140, "{most}");
}

/// One router of 440 goes: only cells it was in change, each by the one that takes its place.
#[test]
fn a_lost_router_moves_only_its_own_cells() {
    // Arrange
    let routers = names(440);
    let before = cells(&routers);

    // Act
    let after = cells(&routers[1..]);

    // Assert
    let gone = before.groups_of(&routers[0]).unwrap_or_default();
    for g in (0..31).map(GroupKey) {
        let moved =
            routers[1..].iter().filter(|r| before.serves(g, r) != after.serves(g, r)).count();
        assert_eq!(moved, usize::from(gone.contains(&g)), "{g}");
    }
}
