//! Cells of a large fleet: their sizes, and the effect of losing one router.

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
fn a_small_fleet_has_no_cells() {
    let cells = cells(&names(MAX_ROUTERS_WITHOUT_CELLS));
    assert!(cells.serves(GroupKey(3), "router-1"));
    assert_eq!(cells.groups_of("router-1"), None);
}

#[test]
fn cells_are_small_and_a_router_shares_cells_with_few_others() {
    // Act
    let routers = names(440);
    let cells = cells(&routers);

    // Assert
    let sizes = (0..31).map(|g| routers.iter().filter(|r| cells.serves(GroupKey(g), r)).count());
    assert!(sizes.clone().all(|n| (12..=30).contains(&n)), "{:?}", sizes.collect::<Vec<_>>());
    let neighbours = routers.iter().map(|r| {
        let groups = cells.groups_of(r).unwrap_or_default();
        cells.routers(&groups).len()
    });
    let most = neighbours.max().unwrap_or(0);
    println!("at most {most} neighbours");
    assert!(most <= 140, "{most}");
}

/// One router of 440 is lost. Only the cells that contained it change, each by one new router.
#[test]
fn the_loss_of_a_router_changes_only_its_own_cells() {
    // Arrange
    let routers = names(440);
    let before = cells(&routers);

    // Act
    let after = cells(&routers[1..]);

    // Assert
    let own = before.groups_of(&routers[0]).unwrap_or_default();
    for g in (0..31).map(GroupKey) {
        let moved =
            routers[1..].iter().filter(|r| before.serves(g, r) != after.serves(g, r)).count();
        assert_eq!(moved, usize::from(own.contains(&g)), "{g}");
    }
}
