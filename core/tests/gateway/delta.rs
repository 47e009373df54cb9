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

fn make_route((at, variant): (u8, u8)) -> Route {
    Route {
        name: format!("r{at}"),
        host: format!("h{}", at % 3),
        prefix: format!("/p{}/", at / 3),
        priority: variant % 3,
        targets: vec![Target { service: format!("s{}", variant % 2), weight: 1 }],
        ..route("report")
    }
}

/// A configuration with routes, services and keys; a key may be listed for several organisations.
fn make_config((version, routes, services, keys): (u64, Items, Items, Items)) -> Arc<Config> {
    let mut config = Config::new(version, Limits { body: version as usize, ..Limits::default() });
    for route in routes {
        config = config.with_route(make_route(route));
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
    (1..9_u64, items(), items(), items()).prop_map(make_config)
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
    fn a_difference_applied_to_the_old_view_gives_the_new_one(a in views(), b in views()) {
        let a = Snapshot::new(a, None);
        let b = Snapshot::new(b, None);
        let bytes = Delta::between(a.base(), &b).encode().unwrap();

        let result = Delta::decode(&bytes).unwrap().apply(Some(&a));

        prop_assert_eq!(result, Ok(b));
    }

    #[test]
    fn a_full_difference_applies_to_any_view(a in views(), b in views()) {
        let a = Snapshot::new(a, None);
        let b = Snapshot::new(b, None);
        let delta = Delta::between(Base::default(), &b);

        prop_assert!(delta.is_full());
        prop_assert_eq!(delta.apply(Some(&a)), Ok(b));
    }

    #[test]
    fn an_incremental_digest_equals_a_full_one(a in views(), b in views()) {
        let before = Snapshot::new(a, None);

        let incremental = Snapshot::new(b.clone(), Some(&before));

        prop_assert_eq!(incremental, Snapshot::new(b, None));
    }

    #[test]
    fn a_corrupted_difference_never_gives_another_view(
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

        let result = Delta::decode(&bytes).and_then(|delta| delta.apply(Some(&a)));

        prop_assert!(result.is_err() || result == Ok(b));
    }

    #[test]
    fn a_truncated_difference_is_an_error(
        a in views(),
        b in views(),
        at in proptest::prelude::any::<Index>(),
    ) {
        let (a, b) = (Snapshot::new(a, None), Snapshot::new(b, None));
        let bytes = Delta::between(a.base(), &b).encode().unwrap();

        let result = Delta::decode(&bytes[..at.index(bytes.len())]);

        prop_assert!(matches!(result, Err(Error::Malformed(_))));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in vec(proptest::prelude::any::<u8>(), 0..300)) {
        let result = Delta::decode(&bytes).and_then(|delta| delta.apply(None));

        // Of all views only the empty one, whose digest is zero, fits into so few bytes.
        prop_assert!(result.is_err() || result == Ok(Snapshot::new(View::default(), None)));
    }
}

#[test]
fn trailing_bytes_are_an_error() {
    let known = Snapshot::new(View::default(), None);
    let mut bytes = Delta::between(Base::default(), &known).encode().unwrap();
    bytes.push(0);

    let result = Delta::decode(&bytes);

    assert!(matches!(result, Err(Error::Malformed(_))), "{result:?}");
}

/// A few bytes that state a list of billions of items must not make the decoder allocate them.
#[test]
fn a_false_list_length_is_an_error() {
    let mut bytes = vec![0; 7];
    bytes.extend([0xff; 9]);
    bytes.push(1);

    let result = Delta::decode(&bytes);

    assert!(matches!(result, Err(Error::Malformed(_))), "{result:?}");
}

#[test]
fn a_difference_does_not_apply_to_another_view() {
    let view = |count| View { replicas: listings(count), ..View::default() };
    let (a, b, c) =
        (Snapshot::new(view(3), None), Snapshot::new(view(4), None), Snapshot::new(view(5), None));
    let delta = Delta::between(a.base(), &b);

    let result = delta.clone().apply(Some(&c));

    assert_eq!(result, Err(Error::BaseMismatch));
    assert_eq!(delta.apply(None), Err(Error::BaseMismatch));
}

#[test]
fn the_size_of_a_difference_is_proportional_to_the_change() {
    let view = |count| View { replicas: listings(count), ..View::default() };
    let (a, b) = (Snapshot::new(view(3_000), None), Snapshot::new(view(2_999), None));

    let bytes = Delta::between(a.base(), &b).encode().unwrap();

    assert!(bytes.len() < 100, "{} bytes", bytes.len());
}

#[test]
fn a_base_combines_parts_of_different_snapshots() {
    let config = |version| Some(make_config((version, Items::new(), Items::new(), Items::new())));
    let view = |version, count| View {
        config: config(version),
        replicas: listings(count),
        gateways: Vec::new(),
    };
    let snapshots = [(1, 3), (2, 4), (3, 5)].map(|(v, c)| Snapshot::new(view(v, c), None));
    let mut history = History::default();
    snapshots.iter().for_each(|s| history.push(s.clone(), 2));
    let (old, middle, newest) = (snapshots[0].digest, snapshots[1].digest, snapshots[2].digest);

    let combined = history.base(Digest { config: middle.config, ..newest }).digest;
    let partial = history.base(Digest { config: old.config, ..newest }).digest;

    assert_eq!(combined, Digest { config: middle.config, ..newest });
    assert_eq!(partial, Digest { config: 0, ..newest });
    assert_eq!(history.newest(), Some(&snapshots[2]));
}
