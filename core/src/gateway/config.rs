//! A gateway's configuration: routes, services, organisations and limits.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::time::Span;

/// Share of a route's calls that go to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service by name.
    pub service: String,
    /// Relative weight.
    pub weight: u32,
}

/// Rules for the calls below one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: String,
    /// Host in lower case.
    pub host: String,
    /// Path prefix, beginning and ending with a slash.
    pub prefix: String,
    /// The answer is a series of events.
    pub streams: bool,
    /// A call may run more than once; for a stream: it may go on elsewhere.
    pub idempotent: bool,
    /// Longest time a caller is kept waiting.
    pub timeout: Span,
    /// Time within which an answer, or a stream's first event, is on time.
    pub objective: Span,
    /// Longest pause between events of a stream that is on time; zero if any is.
    pub pause: Span,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Where calls go.
    pub targets: Vec<Target>,
    /// Most replicas that one call may be sent to.
    pub attempts: u32,
    /// Needs no key.
    pub public: bool,
}

/// What is known of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for running requests and cached prompt parts, in tokens.
    pub kv_tokens: u64,
    /// Tokens in one event of a stream.
    #[serde(rename = "stride")]
    pub tokens_per_event: u32,
}

/// A service that calls are routed to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: String,
    /// Open connections that one replica accepts from all gateways together.
    pub connections: u32,
    /// Its replicas are model engines.
    pub engine: Option<Engine>,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name, unique in the configuration.
    pub name: String,
    /// Rank that goes before a route's.
    pub priority: Option<u8>,
}

/// An organisation with its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The organisation.
    pub organisation: Organisation,
    /// Its keys in order.
    pub keys: Vec<Bytes>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest time to send a head or a body.
    pub head_time: Span,
    /// Longest time a connection may rest.
    pub idle_time: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head: 16_384,
            body: 4_194_304,
            head_time: Span::secs(3),
            idle_time: Span::secs(15),
        }
    }
}

/// One version of the configuration, indexed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Its version; later ones are higher.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: Limits,
    routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    services: BTreeMap<String, Service>,
    organisations: BTreeMap<Arc<str>, Organisation>,
    keys: BTreeMap<Bytes, Arc<str>>,
    lowest: BTreeMap<String, u8>,
}

impl Config {
    /// An empty configuration of `version`.
    pub fn new(version: u64, limits: Limits) -> Config {
        Config { version, limits, ..Config::default() }
    }

    /// The configuration with one more route, in place of one of the same host and prefix.
    pub fn with_route(mut self, route: impl Into<Arc<Route>>) -> Config {
        let route = route.into();
        self.rank(&route);
        let routes = self.routes.entry(route.host.clone()).or_default();
        if routes.insert(route.prefix.clone(), route).is_some() {
            // The one that was replaced may have been the only one of its rank.
            self.lowest.clear();
            self.routes().iter().for_each(|route| self.rank(route));
        }
        self
    }

    fn rank(&mut self, route: &Route) {
        for target in &route.targets {
            let lowest = self.lowest.entry(target.service.clone()).or_default();
            *lowest = route.priority.max(*lowest);
        }
    }

    /// The configuration with one more service.
    pub fn with_service(mut self, service: Service) -> Config {
        self.services.insert(service.name.clone(), service);
        self
    }

    /// The configuration with one more organisation and its keys.
    pub fn with_organisation(
        mut self,
        organisation: Organisation,
        keys: impl IntoIterator<Item = Bytes>,
    ) -> Config {
        let name: Arc<str> = Arc::from(organisation.name.as_str());
        self.organisations.insert(Arc::clone(&name), organisation);
        self.keys.extend(keys.into_iter().map(|key| (key, Arc::clone(&name))));
        self
    }

    /// All routes, ordered by host and prefix.
    pub fn routes(&self) -> Vec<Arc<Route>> {
        self.routes.values().flat_map(BTreeMap::values).cloned().collect()
    }

    /// All services, ordered by name.
    pub fn services(&self) -> Vec<Service> {
        self.services.values().cloned().collect()
    }

    /// All organisations with their keys, ordered by name.
    pub fn accounts(&self) -> Vec<Account> {
        let mut keys: BTreeMap<&str, Vec<Bytes>> = BTreeMap::new();
        for (key, name) in &self.keys {
            keys.entry(name).or_default().push(key.clone());
        }
        let account = |organisation: &Organisation| Account {
            keys: keys.remove(organisation.name.as_str()).unwrap_or_default(),
            organisation: organisation.clone(),
        };
        self.organisations.values().map(account).collect()
    }

    /// The route with the longest prefix of `path` under `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/');
        ends.map(|(at, _)| &path[..=at]).find_map(|prefix| routes.get(prefix))
    }

    /// Whether any route has this host.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.contains_key(host)
    }

    /// Whether no route to `service` ranks below `route`.
    pub fn has_lowest_rank(&self, route: &Route, service: &str) -> bool {
        let lowest = self.lowest.get(service).copied().unwrap_or(0);
        route.priority >= lowest
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &[u8]) -> Option<&Organisation> {
        self.organisations.get(self.keys.get(key)?)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}
