//! Configuration of a gateway: routes, services, organisations and limits.
//!
//! A [`Config`] is one immutable version. It is built by its `with_` methods, which index routes by
//! host and prefix, and organisations by their keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::time::Span;

/// Service that gets a share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// Rules for the calls under one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix, beginning and ending with a slash.
    pub prefix: String,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// Whether a call may run more than once, or a stream be continued by another replica.
    pub idempotent: bool,
    /// Upper bound on the time that a caller waits.
    pub timeout: Span,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub objective: Span,
    /// Longest pause between events of a stream that is on time; zero if there is no bound.
    pub pause: Span,
    /// Rank of the route; 0 is the highest.
    pub priority: u8,
    /// Services that calls go to.
    pub targets: Vec<Target>,
    /// Upper bound on the replicas that one call is sent to.
    pub attempts: u32,
    /// Whether calls need no key.
    pub public: bool,
}

/// Bandwidth between the caches of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transfer {
    /// Bytes of one cached token.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link, in megabits per second.
    pub link_mbps: f64,
}

impl Transfer {
    /// Time in milliseconds for which a link is busy with a copy of `tokens` cached tokens.
    pub fn copy_ms(&self, tokens: u64) -> f64 {
        let bits = tokens as f64 * self.token_bytes as f64 * 8.0;
        bits / (self.link_mbps * 1e3).max(f64::MIN_POSITIVE)
    }
}

/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Capacity of the key-value cache, for running requests and cached prompts, in tokens.
    pub kv_tokens: u64,
    /// Number of tokens in one event of a stream.
    #[serde(rename = "stride")]
    pub tokens_per_event: u32,
    /// How engines copy cached tokens from one another; `None` if they can't.
    pub transfer: Option<Transfer>,
    /// Waiting calls for cache events that an engine accepts at a time; 0 if it reports none.
    pub cache_polls: u32,
    /// Whether a run can be moved to another engine.
    pub moves: bool,
    /// Whether an engine can copy a run's memory to another one while it runs.
    pub backups: bool,
    /// Time for which an engine keeps the copy of a run that it received.
    pub copy_ttl: Span,
    /// Longest time for which a slot can be reserved at an engine; zero if it can't.
    pub max_reservation: Span,
}

impl Engine {
    /// Whether calls are placed by the memory that they hold. Owners know what an engine has in
    /// memory only if it reports cache events.
    pub fn limits_memory(&self) -> bool {
        self.kv_tokens > 0 && self.cache_polls > 0 && self.transfer.is_some()
    }
}

/// A service that calls are routed to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: String,
    /// Upper bound on the connections that one replica accepts from all gateways together.
    pub connections: u32,
    /// Properties of its replicas if these are model engines; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name, unique in the configuration.
    pub name: String,
    /// Rank among organisations, which is compared after the route's rank; 0, the highest, if
    /// `None`.
    pub priority: Option<u8>,
}

/// An organisation with its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Organisation that holds the keys.
    pub organisation: Organisation,
    /// Keys of the organisation, in order.
    pub keys: Vec<Bytes>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest time that a caller may take to send a head or a body.
    pub head_time: Span,
    /// Longest time that a connection may be idle.
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

/// One version of the configuration, with its indexes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Number of the version; later ones are higher.
    pub version: u64,
    /// Limits on the requests of callers.
    pub limits: Limits,
    routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    services: BTreeMap<String, Service>,
    organisations: BTreeMap<Arc<str>, Organisation>,
    keys: BTreeMap<Bytes, Arc<str>>,
    /// Lowest rank (the greatest number) of the routes to each service.
    lowest_rank: BTreeMap<String, u8>,
    /// Longest timeout of the routes whose answers are streams.
    longest_stream: Span,
}

impl Config {
    /// An empty configuration of `version`.
    pub fn new(version: u64, limits: Limits) -> Config {
        Config { version, limits, ..Config::default() }
    }

    /// Adds a route, or replaces the one with the same host and prefix.
    pub fn with_route(mut self, route: impl Into<Arc<Route>>) -> Config {
        let route = route.into();
        self.add_rank(&route);
        if route.streams {
            self.longest_stream = self.longest_stream.max(route.timeout);
        }
        let routes = self.routes.entry(route.host.clone()).or_default();
        if routes.insert(route.prefix.clone(), route).is_some() {
            // The replaced route may have been the only one of its rank.
            self.lowest_rank.clear();
            self.routes().iter().for_each(|route| self.add_rank(route));
        }
        self
    }

    fn add_rank(&mut self, route: &Route) {
        for target in &route.targets {
            let lowest_rank = self.lowest_rank.entry(target.service.clone()).or_default();
            *lowest_rank = route.priority.max(*lowest_rank);
        }
    }

    /// Adds a service.
    pub fn with_service(mut self, service: Service) -> Config {
        self.services.insert(service.name.clone(), service);
        self
    }

    /// Adds an organisation with its keys.
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

    /// The route under `host` with the longest prefix that `path` begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let slashes = path.char_indices().rev().filter(|(_, c)| *c == '/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| routes.get(prefix))
    }

    /// Whether any route has this host.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.contains_key(host)
    }

    /// Whether no route to `service` has a lower rank than `route`.
    pub fn has_lowest_rank(&self, route: &Route, service: &str) -> bool {
        let lowest_rank = self.lowest_rank.get(service).copied().unwrap_or(0);
        route.priority >= lowest_rank
    }

    /// Rank of the most urgent route to `service` by the allowed pause of its streams, in
    /// milliseconds.
    pub fn ranks_by_pause(&self, service: &str) -> BTreeMap<u32, u8> {
        let mut ranks: BTreeMap<u32, u8> = BTreeMap::new();
        let routes = self.routes.values().flat_map(BTreeMap::values);
        let routes = routes.filter(|r| r.streams && r.targets.iter().any(|t| t.service == service));
        for route in routes {
            let pause_ms = route.pause.as_millis().min(u64::from(u32::MAX)) as u32;
            let rank = ranks.entry(pause_ms).or_insert(route.priority);
            *rank = route.priority.min(*rank);
        }
        ranks
    }

    /// Longest timeout of the routes whose answers are streams, replaced ones included.
    pub fn longest_stream(&self) -> Span {
        self.longest_stream
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// The organisation that holds `key`.
    pub fn organisation(&self, key: &[u8]) -> Option<&Organisation> {
        self.organisations.get(self.keys.get(key)?)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}
