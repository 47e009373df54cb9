//! Orders of engines under bursts, reclaims and refusals, without a network.

use laburnumwheel_core::gateway::autoscaler::Autoscaler;
use laburnumwheel_core::gateway::autoscaler::Capacities;
use laburnumwheel_core::gateway::autoscaler::Capacity;
use laburnumwheel_core::gateway::autoscaler::Kind;
use laburnumwheel_core::gateway::autoscaler::Order;
use laburnumwheel_core::gateway::autoscaler::Scaling;
use laburnumwheel_core::gateway::leader::Outcome;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

const SLOTS: u32 = 16;
const ORDINARY_SHARE: f64 = 0.1;
const START: Time = Time(1_000_000_000);

fn scaling() -> Scaling {
    Scaling { min: 1, max: 60, boot: Span::secs(4), spot_price: Some(0.15) }
}

fn capacity(ordinary: u32, spot: u32) -> Capacity {
    Capacity { ordinary, spot, reclaimed: 0 }
}

fn capacities(all: &[(&str, Capacity)]) -> Capacities {
    all.iter().map(|(domain, capacity)| ((*domain).to_owned(), capacity.clone())).collect()
}

fn even(ordinary: u32, spot: u32) -> Capacities {
    let capacity = capacity(ordinary, spot);
    capacities(&[("a", capacity.clone()), ("b", capacity.clone()), ("c", capacity)])
}

/// Three failure domains whose replicas boot and leave as ordered, a second a step.
struct World {
    autoscaler: Autoscaler,
    now: Time,
    capacities: Capacities,
    booting: Vec<(Time, Order)>,
    orders: usize,
    unavailable: Vec<String>,
}

impl World {
    fn new(capacities: Capacities) -> World {
        let autoscaler = Autoscaler::new(SLOTS, ORDINARY_SHARE);
        let (booting, unavailable) = (Vec::new(), Vec::new());
        World { autoscaler, now: START, capacities, booting, orders: 0, unavailable }
    }

    fn step(&mut self, calls: f64) {
        self.now = self.now + Span::secs(1);
        let now = self.now;
        let arrived = self.booting.extract_if(.., |(at, _)| *at <= now);
        for (_, order) in arrived.collect::<Vec<_>>() {
            self.capacities.get_mut(&order.domain).unwrap().spot = order.desired;
        }
        self.autoscaler.observe(now, calls, &self.capacities);
        for order in self.autoscaler.plan(now, &scaling(), &self.capacities) {
            self.place(&order);
        }
    }

    fn place(&mut self, order: &Order) {
        self.orders += 1;
        let refused = order.kind == Kind::Spot && self.unavailable.contains(&order.domain);
        let outcome = if refused { Outcome::Refused } else { Outcome::Accepted };
        self.autoscaler.record_outcome(self.now, order, outcome, &self.capacities);
        let capacity = self.capacities.get_mut(&order.domain).unwrap();
        match order.kind {
            Kind::Ordinary => capacity.ordinary = order.desired,
            Kind::Spot if refused => {}
            Kind::Spot if order.desired <= capacity.spot => capacity.spot = order.desired,
            Kind::Spot => self.booting.push((self.now + scaling().boot, order.clone())),
        }
    }

    fn run(&mut self, seconds: usize, calls: f64) {
        (0..seconds).for_each(|_| self.step(calls));
    }

    fn reclaim(&mut self, domain: &str) {
        let capacity = self.capacities.get_mut(domain).unwrap();
        capacity.reclaimed = std::mem::take(&mut capacity.spot);
    }

    fn engines(&self) -> u32 {
        self.capacities.values().map(|capacity| capacity.ordinary + capacity.spot).sum()
    }

    fn ordinary(&self) -> u32 {
        self.capacities.values().map(|capacity| capacity.ordinary).sum()
    }
}

#[test]
fn ordinary_engines_stay_until_spot_instances_serve_in_their_place() {
    let mut world = World::new(even(30, 0));

    let fewest = (0..20).map(|_| {
        world.step(0.0);
        world.engines()
    });

    assert!(fewest.min() >= Some(90));
    assert_eq!(world.ordinary(), 9);
}

#[test]
fn a_failure_domain_that_loses_its_spot_instances_leaves_enough_engines() {
    let mut world = World::new(even(30, 0));
    world.run(30, 400.0);
    let needed = world.autoscaler.needed();

    world.reclaim("b");

    assert!(world.engines() >= needed, "{} of {needed}", world.engines());
}

#[test]
fn the_first_calls_of_a_day_do_not_shrink_the_fleet() {
    let mut world = World::new(even(30, 0));
    world.run(12, 0.0);
    let before = world.engines();

    world.run(10, 20.0);

    assert_eq!(world.engines(), before);
}

#[test]
fn a_change_of_leader_does_not_grow_the_fleet() {
    let mut world = World::new(even(30, 0));
    world.run(30, 400.0);
    let before = world.engines();

    for _ in 0..5 {
        world.autoscaler = Autoscaler::new(SLOTS, ORDINARY_SHARE);
        world.run(10, 100.0);
    }

    assert!(world.engines() <= before + 3, "{} after {before}", world.engines());
}

#[test]
fn replacements_are_ordered_at_the_notice() {
    let mut world = World::new(even(30, 0));
    world.run(30, 400.0);
    let before = world.orders;

    world.reclaim("b");
    world.step(400.0);

    assert!(world.orders > before);
}

#[test]
fn refused_orders_are_repeated_until_there_are_instances_again() {
    let mut world = World::new(even(30, 0));
    world.run(30, 400.0);
    world.unavailable.push("b".to_owned());
    world.reclaim("b");
    world.run(8, 400.0);
    assert_eq!(world.capacities["b"].spot, 0);

    world.unavailable.clear();
    world.run(8, 400.0);

    assert!(world.capacities["b"].spot > 0);
}

/// A world of 400 calls that loses the spot instances of two failure domains, with none to be had.
fn dry_world() -> World {
    let mut world = World::new(even(30, 0));
    world.run(30, 400.0);
    world.unavailable.extend(["a", "b", "c"].map(str::to_owned));
    world.reclaim("a");
    world.reclaim("b");
    world
}

#[test]
fn ordinary_engines_stand_in_for_spot_instances_that_are_not_to_be_had() {
    let mut world = dry_world();
    world.run(8, 900.0);
    let (during, ordinary) = (world.engines(), world.ordinary());

    world.unavailable.clear();
    world.run(20, 900.0);

    assert!(900.0 <= 0.7 * f64::from(SLOTS * during), "{during}");
    assert!(ordinary >= 30, "{ordinary}");
    assert_eq!(world.capacities["a"].ordinary, world.capacities["c"].ordinary);
}

#[test]
fn no_ordinary_engines_are_ordered_while_the_others_have_room() {
    let mut world = dry_world();
    let before = world.ordinary();

    world.run(8, 200.0);

    assert_eq!(world.ordinary(), before);
}

#[test]
fn replicas_that_register_late_count_as_well() {
    let mut world = World::new(even(10, 0));
    world.step(0.0);
    world.capacities = even(30, 0);

    world.run(20, 0.0);

    assert!(world.autoscaler.needed() >= 90, "{}", world.autoscaler.needed());
}

#[test]
fn bursts_in_a_row_do_not_boot_and_drain_engines_in_turn() {
    let mut world = World::new(even(30, 0));
    world.run(20, 900.0);
    let before = world.orders;

    for _ in 0..6 {
        world.run(9, 150.0);
        world.run(9, 900.0);
    }

    assert!(world.orders - before <= 6, "{} orders", world.orders - before);
}

#[test]
fn entries_that_are_missing_after_an_outage_take_no_order_back() {
    let mut world = World::new(even(30, 0));
    world.run(30, 900.0);
    let before = world.capacities.clone();
    world.capacities.values_mut().for_each(|capacity| capacity.spot = 1);

    let now = world.now + Span::secs(20);
    let orders = world.autoscaler.plan(now, &scaling(), &world.capacities);

    let spot = orders.iter().filter(|order| order.kind == Kind::Spot);
    assert!(spot.clone().count() > 0);
    assert!(spot.clone().all(|o| o.desired >= before[&o.domain].spot), "{orders:?}");
}

#[test]
fn a_fleet_of_thousands_is_not_replaced_at_once() {
    let scaling = Scaling { max: 2_000, ..scaling() };
    let mut capacities = even(1_000, 0);
    let mut autoscaler = Autoscaler::new(SLOTS, ORDINARY_SHARE);
    let mut most = 0;

    for second in 0..60 {
        let now = START + Span::secs(second);
        autoscaler.observe(now, 0.0, &capacities);
        let orders = autoscaler.plan(now, &scaling, &capacities);
        let mut changes = 0;
        for order in orders {
            autoscaler.record_outcome(now, &order, Outcome::Accepted, &capacities);
            let capacity = capacities.get_mut(&order.domain).unwrap();
            let there = match order.kind {
                Kind::Ordinary => &mut capacity.ordinary,
                Kind::Spot => &mut capacity.spot,
            };
            changes += there.abs_diff(order.desired);
            *there = order.desired;
        }
        most = most.max(changes);
    }

    assert!(most <= 60, "{most}");
    assert!(capacities["a"].spot > 500, "{capacities:?}");
}

#[test]
fn a_fleet_whose_demand_is_gone_shrinks() {
    let mut world = World::new(even(30, 0));
    world.run(20, 900.0);
    let most = world.engines();

    world.run(3_600, 100.0);

    assert!(world.engines() < most / 2, "{} of {most}", world.engines());
}

#[test]
fn replicas_that_never_come_are_ordered_again() {
    let mut world = World::new(even(30, 0));
    world.step(0.0);
    world.booting.clear();
    let before = world.orders;

    world.run(8, 0.0);

    assert!(world.orders >= before + 3);
}

#[test]
fn no_failure_domain_gets_more_than_its_maximum() {
    let mut world = World::new(even(30, 0));

    for _ in 0..40 {
        world.step(9_000.0);
        let most =
            world.capacities.values().map(|capacity| capacity.ordinary + capacity.spot).max();
        assert!(most <= Some(60));
    }
}

#[test]
fn nothing_is_ordered_where_there_are_no_spot_instances() {
    let mut autoscaler = Autoscaler::new(SLOTS, ORDINARY_SHARE);
    let without = Scaling { spot_price: None, ..scaling() };

    let orders = autoscaler.plan(START, &without, &even(30, 0));

    assert!(orders.is_empty());
}
