//! Parses the settings of the process from flags and environment variables.
//!
//! All settings are checked before any problem is reported, so that one run shows all of them.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;

use derive_more::Display;

use crate::error::Error;

/// Text of `--help`.
pub const USAGE: &str = "\
laburnumwheel: a router for language-model traffic with service levels and priorities

Usage:
    laburnumwheel [options]

Every option can be given as an environment variable instead; the flag wins.

Options:
    --name NAME              name of this router [LABURNUMWHEEL_NAME]
    --failure-domain NAME    failure domain of this host [LABURNUMWHEEL_FAILURE_DOMAIN]
    --listen IP:PORT         address for callers [LABURNUMWHEEL_LISTEN]
    --peer-listen IP:PORT    address for other routers [LABURNUMWHEEL_PEER_LISTEN]
    --admin-listen IP:PORT   address for operators [LABURNUMWHEEL_ADMIN_LISTEN]
    --key-value IP:PORT      address of the key-value service [LABURNUMWHEEL_KEY_VALUE]
    --seeds IP:PORT,...      peer addresses to join through [LABURNUMWHEEL_SEEDS]
    --peer-secret TEXT       secret shared by all routers [LABURNUMWHEEL_PEER_SECRET]
    --operator-token TEXT    bearer token of operators [LABURNUMWHEEL_OPERATOR_TOKEN]
    --memory-mb NUMBER       memory that the process may take, in megabytes; bodies of requests
                             get a third of it, unlimited if absent [LABURNUMWHEEL_MEMORY_MB]
    --metrics IP:PORT        StatsD address, off if absent [LABURNUMWHEEL_METRICS]
    --log-level LEVEL        error, warn, info or debug [LABURNUMWHEEL_LOG_LEVEL, default info]
    -h, --help               print this text
    -V, --version            print the version
";

/// Prefix of the environment variables that stand for flags.
const PREFIX: &str = "LABURNUMWHEEL_";
const FLAGS: [&str; 12] = [
    "name",
    "failure-domain",
    "listen",
    "peer-listen",
    "admin-listen",
    "key-value",
    "seeds",
    "peer-secret",
    "operator-token",
    "memory-mb",
    "metrics",
    "log-level",
];
/// Least length of the peer secret and the operator token, in bytes.
const MIN_SECRET_BYTES: usize = 8;

/// A problem with one setting.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("--{flag}: {message}")]
pub struct Problem {
    /// The flag, without its dashes.
    pub flag: String,
    /// Description of the problem.
    pub message: String,
}

/// Lowest severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Errors, warnings and events.
    #[default]
    Info,
    /// Everything.
    Debug,
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this router.
    pub name: String,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other routers.
    pub peer_listen: SocketAddr,
    /// Address for operators.
    pub admin_listen: SocketAddr,
    /// Address of the key-value service.
    pub key_value: Option<SocketAddr>,
    /// Peer addresses to join through.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all routers.
    pub peer_secret: String,
    /// Bearer token of operators.
    pub operator_token: String,
    /// Memory that the process may take, in bytes; `None` if it is not limited.
    pub memory_bytes: Option<u64>,
    /// StatsD address; no metrics are sent if absent.
    pub metrics: Option<SocketAddr>,
    /// Lowest severity that is logged.
    pub log_level: Level,
}

/// A parsed command line.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run a router.
    Run(Box<Settings>),
    /// Print the usage text.
    Help,
    /// Print the version.
    Version,
}

/// Collects unparsed settings, then parses and checks all of them.
#[derive(Clone, Debug, Default)]
pub struct Builder {
    raw: BTreeMap<String, String>,
    problems: Vec<Problem>,
}

impl Builder {
    /// Sets a flag, given without its dashes.
    pub fn set(mut self, flag: &str, value: impl ToString) -> Builder {
        self.raw.insert(flag.to_owned(), value.to_string());
        self
    }

    /// Fills in flags that are not set from their environment variables, which `lookup` reads.
    pub fn env(mut self, lookup: impl Fn(&str) -> Option<String>) -> Builder {
        for flag in FLAGS {
            let variable = format!("{PREFIX}{}", flag.replace('-', "_").to_uppercase());
            if let Some(value) = lookup(&variable).filter(|v| !v.is_empty()) {
                self.raw.entry(flag.to_owned()).or_insert(value);
            }
        }
        self
    }

    /// Parses and checks all settings.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Settings`] with all problems.
    pub fn build(mut self) -> Result<Settings, Error> {
        let settings = Settings {
            name: self.parse_name("name"),
            failure_domain: self.parse_name("failure-domain"),
            listen: self.address("listen"),
            peer_listen: self.address("peer-listen"),
            admin_listen: self.address("admin-listen"),
            key_value: self.optional_address("key-value"),
            seeds: self.addresses("seeds"),
            peer_secret: self.parse_secret("peer-secret"),
            operator_token: self.parse_secret("operator-token"),
            memory_bytes: self.optional_megabytes("memory-mb"),
            metrics: self.optional_address("metrics"),
            log_level: self.parse_level("log-level"),
        };
        if settings.key_value.is_none() && settings.seeds.is_empty() {
            self.report("key-value", "set this or --seeds, or the router cannot join others");
        }
        if self.problems.is_empty() { Ok(settings) } else { Err(Error::Settings(self.problems)) }
    }

    fn report(&mut self, flag: &str, message: impl ToString) {
        self.problems.push(Problem { flag: flag.to_owned(), message: message.to_string() });
    }

    fn required(&mut self, flag: &str) -> Option<String> {
        let value = self.raw.get(flag).cloned();
        if value.is_none() {
            self.report(flag, "is missing");
        }
        value
    }

    fn parse_name(&mut self, flag: &str) -> String {
        let Some(name) = self.required(flag) else {
            return String::new();
        };
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
            self.report(flag, format!("`{name}` is not 1 to 64 letters, digits, - or _"));
        }
        name
    }

    fn parse_secret(&mut self, flag: &str) -> String {
        let secret = self.required(flag);
        if secret.as_ref().is_some_and(|s| s.len() < MIN_SECRET_BYTES) {
            self.report(flag, format!("must have at least {MIN_SECRET_BYTES} bytes"));
        }
        secret.unwrap_or_default()
    }

    fn parse_address(&mut self, flag: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            self.report(flag, format!("`{text}` is not an IP address and port"));
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }

    fn address(&mut self, flag: &str) -> SocketAddr {
        let text = self.required(flag).unwrap_or_else(|| "127.0.0.1:0".to_owned());
        self.parse_address(flag, &text)
    }

    fn optional_address(&mut self, flag: &str) -> Option<SocketAddr> {
        let text = self.raw.get(flag).cloned()?;
        Some(self.parse_address(flag, &text))
    }

    fn optional_megabytes(&mut self, flag: &str) -> Option<u64> {
        let text = self.raw.get(flag).cloned()?;
        let megabytes = text.parse().ok().filter(|megabytes| *megabytes > 0);
        if megabytes.is_none() {
            self.report(flag, format!("`{text}` is not a whole number above 0"));
        }
        megabytes.map(|megabytes: u64| megabytes.saturating_mul(1_000_000))
    }

    fn addresses(&mut self, flag: &str) -> Vec<SocketAddr> {
        let text = self.raw.get(flag).cloned().unwrap_or_default();
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        parts.map(|p| self.parse_address(flag, p)).collect()
    }

    fn parse_level(&mut self, flag: &str) -> Level {
        match self.raw.get(flag).map(String::as_str) {
            None | Some("info") => Level::Info,
            Some("error") => Level::Error,
            Some("warn") => Level::Warn,
            Some("debug") => Level::Debug,
            Some(other) => {
                let message = format!("`{other}` is not error, warn, info or debug");
                self.report(flag, message);
                Level::Info
            }
        }
    }
}

/// Parses the command line, with the environment variables that `env` reads.
///
/// # Errors
///
/// Returns [`Error::Settings`] with all problems.
pub fn parse(
    args: impl IntoIterator<Item = OsString>,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Command, Error> {
    let mut builder = Builder::default();
    let mut parser = lexopt::Parser::from_args(args);
    loop {
        match parser.next() {
            Ok(None) => break,
            Ok(Some(lexopt::Arg::Short('h') | lexopt::Arg::Long("help"))) => {
                return Ok(Command::Help);
            }
            Ok(Some(lexopt::Arg::Short('V') | lexopt::Arg::Long("version"))) => {
                return Ok(Command::Version);
            }
            Ok(Some(lexopt::Arg::Long(flag))) if FLAGS.contains(&flag) => {
                let flag = flag.to_owned();
                match parser.value().map(|v| v.to_string_lossy().into_owned()) {
                    Ok(value) => builder = builder.set(&flag, value),
                    Err(_) => builder.report(&flag, "needs a value"),
                }
            }
            Ok(Some(lexopt::Arg::Long(flag))) => {
                let flag = flag.to_owned();
                builder.report(&flag, "no such option");
                parser.optional_value();
            }
            Ok(Some(lexopt::Arg::Short(c))) => builder.report(&c.to_string(), "no such option"),
            Ok(Some(lexopt::Arg::Value(value))) => {
                let value = value.to_string_lossy().into_owned();
                builder.report(&value, "is not an option");
            }
            Err(e) => {
                builder.report("", e);
                break;
            }
        }
    }
    Ok(Command::Run(Box::new(builder.env(env).build()?)))
}
