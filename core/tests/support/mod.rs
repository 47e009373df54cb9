//! A test harness that drives one node with a configuration in force.
#![allow(dead_code)]

use bytes::Bytes;
use laburnumwheel_core::action::Action;
use laburnumwheel_core::action::Dispatch;
use laburnumwheel_core::action::KvCall;
use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::config;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::Source;
use laburnumwheel_core::config::shard;
use laburnumwheel_core::config::shard::Root;
use laburnumwheel_core::event::AttemptId;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::KvReply;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::event::Submission;
use laburnumwheel_core::event::Target;
use laburnumwheel_core::node::Node;
use laburnumwheel_core::node::Settings;
use laburnumwheel_core::node::TICK;
use laburnumwheel_core::sync::ROOT_KEY;
use laburnumwheel_core::sync::SHARD_PREFIX;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

pub const CLASSES: &str = r#"
[[class]]
name = "urgent"
tier = 0
protected = true
first_token_ms = 100
patience_ms = 600000

[[class]]
name = "draft"
tier = 4
first_token_ms = 5000
patience_ms = 2000

[[class]]
name = "bulk"
tier = 5
first_token_ms = 5000
patience_ms = 600000

[[group]]
name = "models"
models = ["m"]
slots = 2

[[group]]
name = "bids"
kind = "service"
"#;

pub fn upstream(name: &str, group: &str, port: u16) -> String {
    format!(
        "[[upstream]]\nname = \"{name}\"\ngroup = \"{group}\"\naddress = \"127.0.0.1:{port}\"\n\
         failure_domain = \"a\"\n"
    )
}

pub fn organisation(name: &str, extra_fields: &str) -> String {
    let hash = config::hash_key(&format!("key-{name}"));
    format!(
        "[[organisation]]\nname = \"{name}\"\nkey_hash = \"{hash}\"\ndefault_class = \"draft\"\n{extra_fields}\n"
    )
}

pub fn parse(text: &str) -> Config {
    let sources = [Source { name: "test".to_owned(), text: text.to_owned() }];
    config::parse(&sources).expect("a valid configuration")
}

pub fn settings(name: &str) -> Settings {
    Settings {
        name: name.to_owned(),
        incarnation: 1,
        failure_domain: "a".to_owned(),
        caller_address: "127.0.0.1:9000".to_owned(),
        peer_address: "127.0.0.1:9100".to_owned(),
        seeds: Vec::new(),
        seed: 1,
        key_value: true,
    }
}

/// A node, the current time and the version of its configuration.
pub struct Harness {
    pub node: Node,
    pub now: Time,
    pub version: u64,
    next: u64,
}

impl Harness {
    /// Starts a node with the engines `e1` and `e2`, the service replica `s1` and the organisation
    /// `o`.
    pub fn new() -> Harness {
        let text = CLASSES.to_owned()
            + &upstream("e1", "models", 1)
            + &upstream("e2", "models", 2)
            + &upstream("s1", "bids", 3)
            + &organisation("o", "");
        Harness::with_config(&text)
    }

    /// Starts a node with the configuration `text` and waits until it serves.
    pub fn with_config(text: &str) -> Harness {
        let now = Time(1_000_000);
        let mut harness = Harness { node: Node::new(settings("r"), now), now, version: 0, next: 1 };
        harness.publish(text);
        harness.advance(Span::secs(2));
        assert!(harness.node.is_serving());
        harness
    }

    /// Publishes a newer configuration in the key-value service and lets the node read it.
    pub fn publish(&mut self, text: &str) {
        self.version += 1;
        let shards = shard::split(&parse(text)).expect("shards that fit");
        let operation = format!("op-{}", self.version);
        let root = Root { version: self.version, operation, shards: shards.parts };
        self.reply_to_read(ROOT_KEY, serde_json::to_vec(&root).expect("a root").into());
        for (hash, content) in shards.contents {
            self.reply_to_read(&format!("{SHARD_PREFIX}{hash}"), content);
        }
        assert_eq!(self.node.config_version(), self.version);
    }

    /// Passes the reply to a read of `key` to the node.
    pub fn reply_to_read(&mut self, key: &str, value: Bytes) -> Vec<Action> {
        let call = KvCall::Get { key: key.to_owned() };
        self.handle(Event::Kv(call, KvReply::Value(Some((value, 1)))))
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.node.handle(self.now, event)
    }

    /// Advances the time in ticks; returns all actions of the node.
    pub fn advance(&mut self, span: Span) -> Vec<Action> {
        let until = self.now + span;
        let mut actions = Vec::new();
        while self.now < until {
            self.now = self.now + TICK;
            actions.extend(self.handle(Event::Tick));
        }
        actions
    }

    pub fn submission(class: &str, org: &str) -> Submission {
        Submission {
            key: format!("key-{org}"),
            class: Some(class.to_owned()),
            target: Target::Model("m".to_owned()),
            body: Bytes::from_static(b"{}"),
            prompt_tokens: 10,
            max_tokens: 0,
            prefix: Vec::new(),
            stream: true,
            idempotent: true,
            idempotency_key: None,
        }
    }

    pub fn bid() -> Submission {
        let target = Target::Service {
            name: "bids".to_owned(),
            method: "POST".to_owned(),
            path: "/".to_owned(),
        };
        Submission {
            target,
            stream: false,
            idempotent: false,
            ..Harness::submission("urgent", "o")
        }
    }

    pub fn submit(&mut self, submission: Submission) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        (id, self.handle(Event::Request(id, Box::new(submission))))
    }

    pub fn frame(&mut self, attempt: AttemptId, offset: u32) -> Vec<Action> {
        let text = Bytes::from(format!("{offset} "));
        self.handle(Event::Frame { attempt, echo: attempt, offset, tokens: 1, text })
    }

    pub fn end(&mut self, attempt: AttemptId) -> Vec<Action> {
        self.handle(Event::Ended { attempt, echo: attempt, status: 200 })
    }
}

pub fn dispatches(actions: &[Action]) -> Vec<Dispatch> {
    let all = actions.iter().filter_map(|a| match a {
        Action::Dispatch(d) => Some(d.as_ref().clone()),
        _ => None,
    });
    all.collect()
}

pub fn dispatch(actions: &[Action]) -> Dispatch {
    dispatches(actions).into_iter().next().expect("a dispatch")
}

pub fn delivered(actions: &[Action]) -> String {
    let all = actions.iter().filter_map(|a| match a {
        Action::Deliver { text, .. } => Some(String::from_utf8_lossy(text).into_owned()),
        _ => None,
    });
    all.collect()
}

pub fn finish(actions: &[Action]) -> Option<Outcome> {
    actions.iter().find_map(|a| match a {
        Action::Finish(_, outcome) => Some(outcome.clone()),
        _ => None,
    })
}
