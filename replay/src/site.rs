//! Description of the site of a trace, and the outcomes that a replay at the site must reach.

use laburnumwheel_core::config;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::Source;
use serde::Deserialize;

use crate::error::Error;

/// Site with its sizes, delays, classes, groups of upstreams and required outcomes.
#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    /// Name of the site.
    pub name: String,
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Number of routers, which are spread over the failure domains.
    pub routers: usize,
    /// Time that a message takes between failure domains, in microseconds.
    pub between_domains_us: u64,
    /// Time that a message takes between a caller and a router, in microseconds.
    pub to_callers_us: u64,
    /// Duration of an engine's step, in microseconds.
    pub step_us: u64,
    /// Duration of a call at a plain service, in microseconds.
    pub work_us: u64,
    /// Age of load reports when they arrive at a router, in microseconds.
    pub report_lag_us: u64,
    /// Number of callers of each organisation.
    pub callers: Vec<usize>,
    /// Classes, which the trace refers to by their indices.
    pub class: Vec<Class>,
    /// Groups of upstreams.
    pub group: Vec<Group>,
    /// Start and end of the burst, in milliseconds of the trace.
    pub burst_ms: (u64, u64),
    /// Required outcomes.
    pub outcomes: Outcomes,
}

/// Class of requests.
#[derive(Clone, Debug, Deserialize)]
pub struct Class {
    /// Name of the class in the configuration.
    pub name: String,
    /// Name of the group that serves its requests.
    pub group: String,
    /// Priority tier.
    pub tier: u8,
    /// Whether its requests are never shed or preempted for a lower tier. Its attainment must then
    /// reach the required one.
    #[serde(default)]
    pub protected: bool,
    /// Target for the time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target for the time to the end of the answer, in milliseconds.
    pub finish_ms: u64,
    /// Longest time for which a caller waits for the first token, in milliseconds.
    pub patience_ms: u64,
    /// Whether its requests may run at most once; they have idempotency keys.
    #[serde(default)]
    pub once: bool,
}

/// Group of upstreams.
#[derive(Clone, Debug, Deserialize)]
pub struct Group {
    /// Name of the group.
    pub name: String,
    /// Name of the model; `None` for a plain service.
    #[serde(default)]
    pub model: Option<String>,
    /// Number of replicas, which are spread over the failure domains.
    pub replicas: usize,
    /// Number of requests that a replica runs at a time.
    pub slots: u32,
}

/// Outcomes that a replay must reach.
#[derive(Clone, Debug, Deserialize)]
pub struct Outcomes {
    /// Least attainment of each protected class, in percent.
    pub protected_attainment: f64,
    /// Least goodput relative to its upper bound, without faults, in percent.
    pub goodput: f64,
    /// Upper bound on wasted tokens without faults, in percent of the generated ones.
    pub wasted: f64,
    /// Upper bound on wasted tokens with faults, in percent of the generated ones.
    pub wasted_faulty: f64,
    /// Length of the windows into which the burst is divided, in milliseconds; every class must be
    /// served in each window.
    pub window_ms: u64,
}

impl Site {
    /// Parses the text of a site's file. Errors contain the name `file`.
    ///
    /// # Errors
    ///
    /// [`Error::Outcomes`] if the text does not describe a [`Site`].
    pub fn read(file: &str, text: &str) -> Result<Site, Error> {
        toml::from_str(text).map_err(|e| Error::Outcomes(file.to_owned(), e))
    }

    /// Returns the failure domain of the router, upstream or caller with index `i`.
    pub fn domain(&self, i: usize) -> &str {
        &self.domains[i % self.domains.len()]
    }

    /// Returns the name of an organisation.
    pub fn organisation_name(&self, i: usize) -> String {
        format!("org-{i}")
    }

    /// Returns the bearer key of an organisation.
    pub fn bearer_key(&self, i: usize) -> String {
        format!("key-of-org-{i}")
    }

    /// Returns the configuration of the site's routers.
    ///
    /// # Errors
    ///
    /// [`Error::Config`] if the configuration is invalid.
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
