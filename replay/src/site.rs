//! The site a trace was recorded at, and the outcomes stated for it.

use laburnumwheel_core::config;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::Source;
use serde::Deserialize;

use crate::error::Error;

/// A site: sizes, delays, classes, and what a replay must reach.
#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    /// Name.
    pub name: String,
    /// Failure domains.
    pub domains: Vec<String>,
    /// Routers, spread over the domains.
    pub routers: usize,
    /// One way between failure domains, in microseconds.
    pub between_domains_us: u64,
    /// One way between callers and routers, in microseconds.
    pub to_callers_us: u64,
    /// Engine step, in microseconds.
    pub step_us: u64,
    /// Time a call at a plain service takes, in microseconds.
    pub work_us: u64,
    /// Lateness of load reports, in microseconds.
    pub report_lag_us: u64,
    /// Organisations: callers of each; a large one has many.
    pub callers: Vec<usize>,
    /// Classes in the order of the trace.
    pub class: Vec<Class>,
    /// Groups of upstreams.
    pub group: Vec<Group>,
    /// The burst, in milliseconds of the trace.
    pub burst_ms: (u64, u64),
    /// What must be reached.
    pub outcomes: Outcomes,
}

/// A class as the trace uses it.
#[derive(Clone, Debug, Deserialize)]
pub struct Class {
    /// Name in the configuration.
    pub name: String,
    /// Group that its requests go to.
    pub group: String,
    /// Priority tier.
    pub tier: u8,
    /// Never shed or preempted for a lower tier.
    #[serde(default)]
    pub protected: bool,
    /// Target for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target for the whole answer, in milliseconds.
    pub finish_ms: u64,
    /// Longest useful wait, in milliseconds.
    pub patience_ms: u64,
    /// Its requests run at most once, under an idempotency key.
    #[serde(default)]
    pub once: bool,
}

/// A group of upstreams.
#[derive(Clone, Debug, Deserialize)]
pub struct Group {
    /// Name.
    pub name: String,
    /// Model, or none for a plain service.
    #[serde(default)]
    pub model: Option<String>,
    /// Replicas, spread over the domains.
    pub replicas: usize,
    /// Slots of a replica.
    pub slots: u32,
}

/// What a replay must reach.
#[derive(Clone, Debug, Deserialize)]
pub struct Outcomes {
    /// Attainment of protected classes, in percent.
    pub protected_attainment: f64,
    /// Goodput against the best possible, in percent.
    pub goodput: f64,
    /// Wasted tokens without faults, in percent of all generated.
    pub wasted: f64,
    /// The same with a straggler and a crash.
    pub wasted_faulty: f64,
    /// Windows of the burst in which every class must be served, in milliseconds.
    pub window_ms: u64,
}

impl Site {
    /// Reads a site's file.
    ///
    /// # Errors
    ///
    /// [`Error::Outcomes`] if it is not what [`Site`] describes.
    pub fn read(file: &str, text: &str) -> Result<Site, Error> {
        toml::from_str(text).map_err(|e| Error::Outcomes(file.to_owned(), e))
    }

    /// The domain of the `i`th of many things spread over the domains.
    pub fn domain(&self, i: usize) -> &str {
        &self.domains[i % self.domains.len()]
    }

    /// Name of an organisation.
    pub fn organisation_name(&self, i: usize) -> String {
        format!("org-{i}")
    }

    /// Bearer key of an organisation.
    pub fn bearer_key(&self, i: usize) -> String {
        format!("key-of-org-{i}")
    }

    /// The configuration that routers of the site have in force.
    ///
    /// # Errors
    ///
    /// [`Error::Config`] if the site does not make a valid one.
    pub fn config(&self) -> Result<Config, Error> {
        let mut text = String::new();
        for c in &self.class {
            text += &format!(
                "[[class]]\nname = \"{}\"\ntier = {}\nprotected = {}\nfirst_token_ms = {}\n\
                 finish_ms = {}\npatience_ms = {}\n",
                c.name, c.tier, c.protected, c.first_token_ms, c.finish_ms, c.patience_ms
            );
        }
        let mut port = 1;
        for g in &self.group {
            text += &match &g.model {
                Some(model) => format!(
                    "[[group]]\nname = \"{}\"\nmodels = [\"{model}\"]\nslots = {}\n",
                    g.name, g.slots
                ),
                None => format!(
                    "[[group]]\nname = \"{}\"\nkind = \"service\"\nslots = {}\n",
                    g.name, g.slots
                ),
            };
            for i in 0..g.replicas {
                text += &format!(
                    "[[upstream]]\nname = \"{}-{i}\"\ngroup = \"{}\"\n\
                     address = \"127.0.0.1:{port}\"\nfailure_domain = \"{}\"\n",
                    g.name,
                    g.name,
                    self.domain(i)
                );
                port += 1;
            }
        }
        for i in 0..self.callers.len() {
            text += &format!(
                "[[organisation]]\nname = \"{}\"\nkey_hash = \"{}\"\ndefault_class = \"{}\"\n",
                self.organisation_name(i),
                config::hash_key(&self.bearer_key(i)),
                self.class[0].name
            );
        }
        Ok(config::parse(&[Source { name: self.name.clone(), text }])?)
    }
}
