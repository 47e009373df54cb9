//! Routes, keys, ranks and versions of the configuration.

use std::sync::Arc;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::time::Span;

use crate::support::START;
use crate::support::config;
use crate::support::gateway;
use crate::support::route;
use crate::support::settings;
use crate::support::submission;

#[test]
fn the_longest_prefix_wins() {
    let mut long = route("report");
    long.name = "inner".to_owned();
    long.prefix = "/report/inner/".to_owned();
    let config = config(1).with_route(long);

    let names = ["/report/x", "/report/inner/x", "/report/inner", "/report/innerx/y"]
        .map(|path| config.route("auction.example", path).map(|r| r.name.clone()));

    let expected = ["report", "inner", "report", "report"].map(|n| Some(n.to_owned()));
    assert_eq!(names, expected);
    assert!(config.route("auction.example", "/other/").is_none());
    assert!(config.route("other.example", "/report/x").is_none());
}

/// A gateway that has just started has no configuration. A caller whose route is denied does not
/// retry, so the refusal must state a time to retry after.
#[test]
fn without_a_configuration_a_call_is_refused_to_be_retried() {
    let mut gateway = Gateway::new(settings("one"), START);

    let refusal = gateway.admit(START, &submission("report", &[])).unwrap_err();

    assert_eq!(refusal.reason, Reason::NoConfiguration);
    assert!(refusal.not_run);
    assert!(refusal.retry_after > Span(0));
}

#[test]
fn an_unknown_key_is_refused_and_a_known_one_gives_the_organisation() {
    let mut gateway = gateway(3);
    let mut unknown = submission("report", &[]);
    unknown.key = Some(bytes::Bytes::from_static(b"other"));

    let refused = gateway.admit(START, &unknown).unwrap_err();
    let grant = gateway.admit(START, &submission("report", &[])).unwrap();

    assert_eq!(refused.reason, Reason::UnknownKey);
    assert_eq!(grant.organisation.as_deref(), Some("museum"));
    assert_eq!((grant.rank.route, grant.rank.organisation), (2, 1));
}

/// A slow read of the store arrives after a newer one. Its configuration must be ignored by its
/// version, because it may contain a key that was revoked since.
#[test]
fn an_older_version_is_never_taken() {
    let mut gateway = gateway(3);
    gateway.record_read(START + Span::secs(1), Some(Arc::new(config(5))));

    let is_new = gateway.record_read(START + Span::secs(2), Some(Arc::new(config(4))));

    assert!(!is_new);
    assert_eq!(gateway.version(), 5);
    assert_eq!(gateway.proved_at(), Some(START + Span::secs(1)));
}

/// While an admitted call waits for a connection, its route is moved to another service. The call
/// must go to the new service, because the configuration no longer allows the old one.
#[test]
fn a_call_that_waited_uses_the_current_configuration() {
    let mut gateway = gateway(3);
    let call = submission("report", &[]);
    let mut grant = gateway.admit(START, &call).unwrap();
    let mut moved = route("report");
    moved.targets[0].service = "others".to_owned();
    gateway.record_read(START, Some(Arc::new(config(2).with_route(moved))));

    gateway.recheck(START, &call, &mut grant).unwrap();

    assert_eq!(grant.service, "others");
}
