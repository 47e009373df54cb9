//! The configuration that operators write: request classes, upstreams and organisations.

mod parse;
pub mod shard;

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

pub use self::parse::Finding;
pub use self::parse::Findings;
pub use self::parse::Source;
pub use self::parse::parse;
use crate::time::Span;

/// Number of priority tiers.
pub const TIERS: usize = 6;

/// Number of a class in [`Config::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
pub struct ClassKey(pub u16);

/// Number of an upstream group in [`Config::groups`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
pub struct GroupKey(pub u16);

/// Number of an organisation in [`Config::organisations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
pub struct OrgKey(pub u32);

/// A request class: latency targets and a priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Unique name.
    pub name: String,
    /// Priority tier; 0 is the highest.
    pub tier: u8,
    /// Whether its requests are exempt from shedding and preemption.
    pub protected: bool,
    /// Target time from arrival to the first token.
    pub first_token: Span,
    /// Target time from arrival to the end of the answer.
    pub finish: Span,
    /// Longest time in the queue, after which the request is refused as not run.
    pub patience: Span,
    /// Guaranteed share of dispatched tokens while requests of the class wait, in thousandths.
    pub trickle: u32,
}

/// Kind of the upstreams in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum Kind {
    /// A model engine that streams tokens.
    #[display("engine")]
    Engine,
    /// A plain service that returns whole answers.
    #[display("service")]
    Service,
}

/// Desired state of the engines in a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deployment {
    /// Version of the models.
    pub version: String,
    /// Names of the adapters, in order.
    pub adapters: Vec<String>,
    /// Role, such as prefill or decode.
    pub role: String,
}

/// A group of replicas that serve the same models or the same plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Unique name; callers address a plain service by it.
    pub name: String,
    /// Engines or plain services.
    pub kind: Kind,
    /// Names of the models it serves; empty for a plain service.
    pub models: Vec<String>,
    /// Number of concurrent requests of a replica, until it reports its own number.
    pub slots: u32,
    /// Whether a refusal (status 429 or 503) guarantees that the request did not run.
    pub safe_refusals: bool,
    /// Whether replicas refuse orders with an old fencing token.
    pub checks_fencing: bool,
    /// State that replicas are ordered to reach; the default orders nothing.
    pub deployment: Deployment,
}

/// A replica of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Unique name.
    pub name: String,
    /// Name of its group.
    pub group: String,
    /// IP address and port.
    pub address: String,
    /// Failure domain of the replica.
    pub failure_domain: String,
}

/// A customer with a bearer key and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Unique name.
    pub name: String,
    /// BLAKE3 hash of its bearer key, as 64 hexadecimal digits.
    pub key_hash: String,
    /// Class of requests that do not name one.
    pub default_class: String,
    /// Requests a second over all routers; 0 means no limit.
    pub requests_per_second: u32,
    /// Tokens a second over all routers; 0 means no limit.
    pub tokens_per_second: u32,
    /// Weight in the fair queueing within a class; at least 1.
    pub weight: u32,
}

/// A validated configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Upstream groups.
    pub groups: Vec<Group>,
    /// Replicas.
    pub upstreams: Vec<Upstream>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
}

/// The configuration in force, with lookup tables.
///
/// An entry keeps its key when the configuration changes. The values of a removed entry stay
/// available under its key, so that requests in progress finish under the rules of their start.
#[derive(Clone, Debug, Default)]
pub struct Index {
    classes: Vec<Class>,
    groups: Vec<Group>,
    organisations: Vec<Organisation>,
    class_by_name: BTreeMap<String, ClassKey>,
    group_by_name: BTreeMap<String, GroupKey>,
    group_by_model: BTreeMap<String, GroupKey>,
    org_by_name: BTreeMap<String, OrgKey>,
    org_by_hash: BTreeMap<[u8; 32], OrgKey>,
    removed: Removed,
}

/// Keys of removed entries by name; a new entry of the same name gets the same key.
#[derive(Clone, Debug, Default)]
struct Removed {
    classes: BTreeMap<String, ClassKey>,
    groups: BTreeMap<String, GroupKey>,
    organisations: BTreeMap<String, OrgKey>,
}

/// Replaces the value of an existing key, or appends the value and returns its new key.
fn store<T, K: Copy>(
    values: &mut Vec<T>,
    value: T,
    old: Option<K>,
    number: impl Fn(K) -> usize,
    key: impl Fn(usize) -> K,
) -> K {
    match old {
        Some(k) => {
            values[number(k)] = value;
            k
        }
        None => {
            values.push(value);
            key(values.len() - 1)
        }
    }
}

impl Index {
    /// Puts `config` in force.
    pub fn update(&mut self, config: &Config) {
        self.removed.classes.append(&mut self.class_by_name);
        self.removed.groups.append(&mut self.group_by_name);
        self.removed.organisations.append(&mut self.org_by_name);
        self.group_by_model.clear();
        self.org_by_hash.clear();
        for class in &config.classes {
            let old = self.removed.classes.remove(&class.name);
            let values = &mut self.classes;
            let key = store(values, class.clone(), old, |k| k.0.into(), |i| ClassKey(i as u16));
            self.class_by_name.insert(class.name.clone(), key);
        }
        for group in &config.groups {
            let old = self.removed.groups.remove(&group.name);
            let values = &mut self.groups;
            let key = store(values, group.clone(), old, |k| k.0.into(), |i| GroupKey(i as u16));
            self.group_by_name.insert(group.name.clone(), key);
            for model in &group.models {
                self.group_by_model.insert(model.clone(), key);
            }
        }
        for org in &config.organisations {
            let old = self.removed.organisations.remove(&org.name);
            let values = &mut self.organisations;
            let key = store(values, org.clone(), old, |k| k.0 as usize, |i| OrgKey(i as u32));
            self.org_by_name.insert(org.name.clone(), key);
            // The parser accepts only valid hashes. An invalid one of another writer is skipped,
            // because no key could match it.
            if let Ok(hash) = blake3::Hash::from_hex(&org.key_hash) {
                self.org_by_hash.insert(*hash.as_bytes(), key);
            }
        }
    }

    /// The class of `key`.
    pub fn class(&self, key: ClassKey) -> &Class {
        &self.classes[usize::from(key.0)]
    }

    /// The group of `key`.
    pub fn group(&self, key: GroupKey) -> &Group {
        &self.groups[usize::from(key.0)]
    }

    /// The organisation of `key`.
    pub fn organisation(&self, key: OrgKey) -> &Organisation {
        &self.organisations[key.0 as usize]
    }

    /// Keys of all groups, including removed ones.
    pub fn group_keys(&self) -> impl Iterator<Item = GroupKey> + use<> {
        (0..self.groups.len()).map(|i| GroupKey(i as u16))
    }

    /// Keys of all classes, including removed ones.
    pub fn class_keys(&self) -> impl Iterator<Item = ClassKey> + use<> {
        (0..self.classes.len()).map(|i| ClassKey(i as u16))
    }

    /// The class called `name`.
    pub fn class_named(&self, name: &str) -> Option<ClassKey> {
        self.class_by_name.get(name).copied()
    }

    /// The engine group that serves `model`.
    pub fn group_of_model(&self, model: &str) -> Option<GroupKey> {
        self.group_by_model.get(model).copied()
    }

    /// The group called `name`.
    pub fn group_named(&self, name: &str) -> Option<GroupKey> {
        self.group_by_name.get(name).copied()
    }

    /// The organisation called `name`.
    pub fn organisation_named(&self, name: &str) -> Option<OrgKey> {
        self.org_by_name.get(name).copied()
    }

    /// Names of all models in force, in order.
    pub fn models(&self) -> impl Iterator<Item = &str> {
        self.group_by_model.keys().map(String::as_str)
    }

    /// The organisation whose bearer key is `key`.
    ///
    /// The lookup compares hashes instead of keys, so that its duration reveals nothing about a
    /// stored key.
    pub fn organisation_of_key(&self, key: &str) -> Option<OrgKey> {
        self.org_by_hash.get(blake3::hash(key.as_bytes()).as_bytes()).copied()
    }
}

/// The stored form of a bearer key: its BLAKE3 hash in hexadecimal.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
