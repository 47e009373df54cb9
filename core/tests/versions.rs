//! Configuration: locations of findings, overlays, shards, and the order of versions.

mod support;

use laburnumwheel_core::config;
use laburnumwheel_core::config::Source;
use laburnumwheel_core::config::shard;
use laburnumwheel_core::config::shard::Root;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::peer::Message;
use laburnumwheel_core::sync::ROOT_KEY;
use laburnumwheel_core::sync::SHARD_PREFIX;
use proptest::prelude::*;

use support::Harness;

fn source(name: &str, text: &str) -> Source {
    Source { name: name.to_owned(), text: text.to_owned() }
}

#[test]
fn every_finding_is_reported_with_its_location() {
    // Arrange
    let base = "[[class]]\nname = \"c\"\ntier = 9\nfirst_token_ms = \"x\"\n\n\
                [[class]]\nname = \"c\"\n\n\
                [[upstream]]\nname = \"u\"\ngroup = \"nowhere\"\naddress = \"host:1\"\n\
                failure_domain = \"a\"\ncolour = 1\n";
    let overlay = "[[organisation]]\nname = \"o\"\nkey_hash = \"12\"\ndefault_class = \"none\"\n";

    // Act
    let sources = [source("base.toml", base), source("site.toml", overlay)];
    let findings = config::parse(&sources).expect_err("findings").0;

    // Assert
    let locations: Vec<String> =
        findings.iter().map(|f| format!("{}:{}:{}", f.file, f.line, f.column)).collect();
    let expected = [
        "base.toml:3:8",
        "base.toml:4:18",
        "base.toml:6:1",
        "base.toml:11:9",
        "base.toml:12:11",
        "base.toml:14:10",
        "site.toml:3:12",
        "site.toml:4:17",
    ];
    assert_eq!(locations, expected, "{findings:#?}");
}

#[test]
fn an_overlay_changes_single_fields() {
    // Arrange
    let overlay = "[[class]]\nname = \"draft\"\ntier = 5\n";

    // Act
    let sources = [source("base", support::CLASSES), source("site", overlay)];
    let config = config::parse(&sources).expect("a valid configuration");

    // Assert
    let draft = config.classes.iter().find(|c| c.name == "draft").expect("the class draft");
    assert_eq!((draft.tier, draft.patience.as_millis()), (5, 2_000));
}

#[test]
fn shards_of_18_000_organisations_fit_and_the_change_of_one_is_small() {
    // Arrange
    let mut config = support::parse(support::CLASSES);
    for i in 0..18_000 {
        config.organisations.push(config::Organisation {
            name: format!("organisation-{i}"),
            key_hash: config::hash_key(&i.to_string()),
            default_class: "draft".to_owned(),
            requests_per_second: 10,
            tokens_per_second: 10_000,
            weight: 1,
        });
    }

    // Act
    let before = shard::split(&config).expect("shards that fit");
    config.organisations[77].weight = 2;
    let after = shard::split(&config).expect("shards that fit");

    // Assert
    let old = Root { version: 1, operation: "a".to_owned(), shards: before.parts };
    let new = Root { version: 2, operation: "b".to_owned(), shards: after.parts };
    let change = new.change_from(&old);
    let shards = change.set.values().filter_map(|h| after.contents.get(h));
    let bytes: usize = shards.map(bytes::Bytes::len).sum();
    assert_eq!(change.set.len(), 1);
    assert!(bytes < 10_000, "{bytes} bytes");
    assert_eq!(old.apply(&change), Some(new));
    assert!(before.contents.values().all(|c| c.len() <= shard::MAX_VALUE_BYTES));
}

/// A stale read of the key-value service, and then a slow peer, deliver an older version than the
/// one in force. The version in force must stay.
#[test]
fn a_version_never_goes_back() {
    // Arrange
    let mut harness = Harness::new();
    let old = shard::split(&support::parse(support::CLASSES)).expect("shards that fit");
    let newer = support::CLASSES.replace("tier = 4", "tier = 5");
    harness.publish(&newer);
    let stale = Root { version: 1, operation: "op-1".to_owned(), shards: old.parts.clone() };

    // Act
    harness.reply_to_read(ROOT_KEY, serde_json::to_vec(&stale).expect("a root").into());
    for (hash, content) in &old.contents {
        harness.reply_to_read(&format!("{SHARD_PREFIX}{hash}"), content.clone());
    }
    let change = stale.change_from(&Root::default());
    let message = Message::Root(change);
    harness.handle(Event::Peer { from: "r2".to_owned(), incarnation: 1, message });
    for content in old.contents.into_values() {
        let message = Message::Shard(content);
        harness.handle(Event::Peer { from: "r2".to_owned(), incarnation: 1, message });
    }

    // Assert
    let class = harness.node.index().class_named("draft").expect("the class draft");
    assert_eq!(harness.node.config_version(), 2);
    assert_eq!(harness.node.index().class(class).tier, 5);
}

/// Guards against a root of another writer with a large version, whose shards don't exist, stopping all
/// later configurations: roots that are published after it have lower versions.
#[test]
fn root_without_shards_does_not_stop_later_ones() {
    for version in [7_000, u64::MAX] {
        // Arrange
        let mut harness = Harness::new();
        let shards = [(0, "none".to_owned())].into();
        let odd = Root { version, operation: "odd".to_owned(), shards };
        harness.reply_to_read(ROOT_KEY, serde_json::to_vec(&odd).expect("a root").into());

        // Act
        harness.publish(&support::CLASSES.replace("tier = 4", "tier = 5"));

        // Assert
        let class = harness.node.index().class_named("draft").expect("the class draft");
        assert_eq!(harness.node.config_version(), 2, "after {version}");
        assert_eq!(harness.node.index().class(class).tier, 5);
    }
}

/// The class of a running request is removed, and a new class replaces it in the file. The request
/// must still finish under the rules of its removed class.
#[test]
fn requests_in_progress_keep_the_rules_of_a_removed_class() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::submission("draft", "o"));
    let attempt = support::dispatch(&actions).attempt;
    let changed = support::CLASSES.replace("\"draft\"", "\"sketch\"");
    let organisation = support::organisation("o", "").replace("draft", "sketch");

    // Act
    harness.publish(&(changed + &support::upstream("e1", "models", 1) + &organisation));
    harness.frame(attempt, 0);
    let end = support::finish(&harness.end(attempt));

    // Assert
    assert!(matches!(end, Some(laburnumwheel_core::action::Outcome::Whole { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_text_makes_the_parser_panic(text in "(\\[\\[(class|group|upstream|organisation)\\]\\]\n|[a-z_]+ = (\"[a-z]*\"|-?[0-9]{1,20}|true|\\[\\])\n|.){0,30}") {
        let _ = config::parse(&[source("any", &text)]);
    }

    #[test]
    fn no_bytes_make_the_decoders_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = laburnumwheel_core::codec::decode_message(&bytes);
        let mut harness = Harness::new();
        let _ = laburnumwheel_core::codec::drive(&mut harness.node, &bytes);
        harness.reply_to_read(ROOT_KEY, bytes.clone().into());
        harness.reply_to_read(laburnumwheel_core::sync::ROSTER_KEY, bytes.into());
        assert_eq!(harness.node.config_version(), 1);
    }
}
