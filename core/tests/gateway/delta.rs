//! Differences between views.

use std::sync::Arc;

use bytes::Bytes;
use laburnumwheel_core::gateway::config::Config;
use laburnumwheel_core::gateway::config::Limits;
use laburnumwheel_core::gateway::config::Organisation;
use laburnumwheel_core::gateway::config::Route;
use laburnumwheel_core::gateway::config::Service;
use laburnumwheel_core::gateway::config::Target;
use laburnumwheel_core::gateway::delta::Delta;
use laburnumwheel_core::gateway::delta::Error;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::view::Base;
use laburnumwheel_core::gateway::view::Digest;
use laburnumwheel_core::gateway::view::History;
use laburnumwheel_core::gateway::view::Snapshot;
use laburnumwheel_core::gateway::view::View;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::Index;

use crate::support::entry;
use crate::support::listing;
use crate::support::listings;
use crate::support::route;

type Items = Vec<(u8, u8)>;

fn some_route((at, variant): (u8, u8)) -> Route {
    Route {
        name: format!("r{at}"),
        host: format!("h{}", at % 3),
        prefix: format!("/p{}/", at / 3),
        priority: variant % 3,
        targets: vec![Target { service: format!("s{}", variant % 2), weight: 1 }],
        ..route("report")
    }
}

/// A configuration of some routes, services and keys; organisations take keys from one another.
fn some_config((version, routes, services, keys): (u64, Items, Items, Items)) -> Arc<Config> {
    let mut config = Config::new(version, Limits { body: version as usize, ..Limits::default() });
    for route in routes {
        config = config.with_route(some_route(route));
    }
    for (at, variant) in services {
        let name = format!("s{at}");
        config = config.with_service(Service { name, connections: variant.into(), engine: None });
    }
    for (at, key) in keys {
        let organisation = Organisation { name: format!("o{at}"), priority: Some(key) };
        config = config.with_organisation(organisation, [Bytes::from(vec![key])]);
    }
    Arc::new(config)
}

fn items() -> impl Strategy<Value = Items> {
    vec((0..12_u8, 0..4_u8), 0..14)
}

fn configs() -> impl Strategy<Value = Arc<Config>> {
    (1..9_u64, items(), items(), items()).prop_map(some_config)
}

fn views() -> impl Strategy<Value = View> {
    (option::of(configs()), items(), items()).prop_map(|(config, replicas, gateways)| View {
        config,
        replicas: replicas
            .into_iter()
            .map(|(at, variant)| Listing {
                leaving: variant > 1,
                slots: variant.into(),
                ..listing(&format!("i{at}"))
            })
            .collect(),
        gateways: gateways
            .into_iter()
            .map(|(at, variant)| Entry { weight: variant.into(), ..entry(&format!("g{at}")) })
            .collect(),
    })
}

proptest! {
    #[test]
    fn a_difference_applied_to_the_old_view_gives_the_new(a in views(), b in views()) {
        let a = Snapshot::new(a, None);
        let b = Snapshot::new(b, None);
        let bytes = Delta::between(a.base(), &b).encode().unwrap();

        let got = Delta::decode(&bytes).unwrap().apply(Some(&a));

        prop_assert_eq!(got, Ok(b));
    }

    #[test]
    fn a_difference_from_nothing_gives_the_view_whatever_was_known(a in views(), b in views()) {
        let a = Snapshot::new(a, None);
        let b = Snapshot::new(b, None);
        let delta = Delta::between(Base::default(), &b);

        prop_assert!(delta.is_full());
        prop_assert_eq!(delta.apply(Some(&a)), Ok(b));
    }

    #[test]
    fn a_digest_does_not_depend_on_what_was_known_before(a in views(), b in views()) {
        let before = Snapshot::new(a, None);

        let reckoned = Snapshot::new(b.clone(), Some(&before));

        prop_assert_eq!(reckoned, Snapshot::new(b, None));
    }

    #[test]
    fn a_damaged_difference_never_gives_another_view(
        a in views(),
        b in views(),
        at in proptest::prelude::any::<Index>(),
        bit in 0..8_u8,
    ) {
        let a = Snapshot::new(a, None);
        let b = Snapshot::new(b, None);
        let mut bytes = Delta::between(a.base(), &b).encode().unwrap();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;

        let got = Delta::decode(&bytes).and_then(|delta| delta.apply(Some(&a)));

        prop_assert!(got.is_err() || got == Ok(b));
    }

    #[test]
    fn a_truncated_difference_is_an_error(
        a in views(),
        b in views(),
        at in proptest::prelude::any::<Index>(),
    ) {
        let (a, b) = (Snapshot::new(a, None), Snapshot::new(b, None));
        let bytes = Delta::between(a.base(), &b).encode().unwrap();

        let got = Delta::decode(&bytes[..at.index(bytes.len())]);

        prop_assert!(matches!(got, Err(Error::Malformed(_))));
    }

    #[test]
    fn any_bytes_are_no_reason_to_panic(bytes in vec(proptest::prelude::any::<u8>(), 0..300)) {
        let got = Delta::decode(&bytes).and_then(|delta| delta.apply(None));

        // Nothing is the one view that short bytes can hold: its digest is zero.
        prop_assert!(got.is_err() || got == Ok(Snapshot::new(View::default(), None)));
    }
}

#[test]
fn bytes_behind_a_difference_are_an_error() {
    let known = Snapshot::new(View::default(), None);
    let mut bytes = Delta::between(Base::default(), &known).encode().unwrap();
    bytes.push(0);

    let got = Delta::decode(&bytes);

    assert!(matches!(got, Err(Error::Malformed(_))), "{got:?}");
}

/// A few bytes that announce billions of items would take all memory if they were believed.
#[test]
fn a_difference_that_announces_more_than_it_holds_is_an_error() {
    let mut bytes = vec![0; 7];
    bytes.extend([0xff; 9]);
    bytes.push(1);

    let got = Delta::decode(&bytes);

    assert!(matches!(got, Err(Error::Malformed(_))), "{got:?}");
}

#[test]
fn a_difference_does_not_apply_to_another_view() {
    let view = |count| View { replicas: listings(count), ..View::default() };
    let (a, b, c) =
        (Snapshot::new(view(3), None), Snapshot::new(view(4), None), Snapshot::new(view(5), None));
    let delta = Delta::between(a.base(), &b);

    let got = delta.clone().apply(Some(&c));

    assert_eq!(got, Err(Error::BaseMismatch));
    assert_eq!(delta.apply(None), Err(Error::BaseMismatch));
}

#[test]
fn a_change_takes_bytes_in_proportion_to_itself() {
    let view = |count| View { replicas: listings(count), ..View::default() };
    let (a, b) = (Snapshot::new(view(3_000), None), Snapshot::new(view(2_999), None));

    let bytes = Delta::between(a.base(), &b).encode().unwrap();

    assert!(bytes.len() < 100, "{} bytes", bytes.len());
}

#[test]
fn a_history_knows_parts_of_different_views() {
    let config = |version| Some(some_config((version, Items::new(), Items::new(), Items::new())));
    let view = |version, count| View {
        config: config(version),
        replicas: listings(count),
        gateways: Vec::new(),
    };
    let known = [(1, 3), (2, 4), (3, 5)].map(|(v, c)| Snapshot::new(view(v, c), None));
    let mut history = History::default();
    known.iter().for_each(|k| history.push(k.clone(), 2));
    let (old, middle, newest) = (known[0].digest, known[1].digest, known[2].digest);

    let mixed = history.base(Digest { config: middle.config, ..newest }).digest;
    let forgotten = history.base(Digest { config: old.config, ..newest }).digest;

    assert_eq!(mixed, Digest { config: middle.config, ..newest });
    assert_eq!(forgotten, Digest { config: 0, ..newest });
    assert_eq!(history.newest(), Some(&known[2]));
}
