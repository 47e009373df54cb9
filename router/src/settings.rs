//! Settings of the process, from flags and environment variables.

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
    --metrics IP:PORT        StatsD address, off if absent [LABURNUMWHEEL_METRICS]
    --log-level LEVEL        error, warn, info or debug [LABURNUMWHEEL_LOG_LEVEL, default info]
    -h, --help               print this text
    -V, --version            print the version
";

const PREFIX: &str = "LABURNUMWHEEL_";
const FLAGS: [&str; 11] = [
    "name",
    "failure-domain",
    "listen",
    "peer-listen",
    "admin-listen",
    "key-value",
    "seeds",
    "peer-secret",
    "operator-token",
    "metrics",
    "log-level",
];
const MIN_SECRET_BYTES: usize = 8;

/// One thing wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("--{flag}: {message}")]
pub struct Problem {
    /// Flag without its dashes.
    pub flag: String,
    /// What is wrong.
    pub message: String,
}

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// Errors only.
    Error,
    /// And warnings.
    Warn,
    /// And events.
    #[default]
    Info,
    /// And details.
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
    /// StatsD address.
    pub metrics: Option<SocketAddr>,
    /// How much is logged.
    pub log_level: Level,
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run a router.
    Run(Box<Settings>),
    /// Print the usage text.
    Help,
    /// Print the version.
    Version,
}

/// Collects raw settings, then checks them all together.
#[derive(Clone, Debug, Default)]
pub struct Builder {
    raw: BTreeMap<String, String>,
    problems: Vec<Problem>,
}

impl Builder {
    /// Sets `flag` as if it stood on the command line.
    pub fn set(mut self, flag: &str, value: impl ToString) -> Builder {
        self.raw.insert(flag.to_owned(), value.to_string());
        self
    }

    /// Takes what `lookup` finds for the environment variables of flags that are not set.
    pub fn env(mut self, lookup: impl Fn(&str) -> Option<String>) -> Builder {
        for flag in FLAGS {
            let variable = format!("{PREFIX}{}", flag.replace('-', "_").to_uppercase());
            if let Some(value) = lookup(&variable).filter(|v| !v.is_empty()) {
                self.raw.entry(flag.to_owned()).or_insert(value);
            }
        }
        self
    }

    /// Checks everything.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with all problems.
    pub fn build(mut self) -> Result<Settings, Error> {
        let settings = Settings {
            name: self.name("name"),
            failure_domain: self.name("failure-domain"),
            listen: self.address("listen"),
            peer_listen: self.address("peer-listen"),
            admin_listen: self.address("admin-listen"),
            key_value: self.optional_address("key-value"),
            seeds: self.addresses("seeds"),
            peer_secret: self.secret("peer-secret"),
            operator_token: self.secret("operator-token"),
            metrics: self.optional_address("metrics"),
            log_level: self.level("log-level"),
        };
        if settings.key_value.is_none() && settings.seeds.is_empty() {
            self.problem("key-value", "give this or --seeds, or the router can join nobody");
        }
        if self.problems.is_empty() { Ok(settings) } else { Err(Error::Settings(self.problems)) }
    }

    fn problem(&mut self, flag: &str, message: impl ToString) {
        self.problems.push(Problem { flag: flag.to_owned(), message: message.to_string() });
    }

    fn required(&mut self, flag: &str) -> Option<String> {
        let value = self.raw.get(flag).cloned();
        if value.is_none() {
            self.problem(flag, "is missing");
        }
        value
    }

    fn name(&mut self, flag: &str) -> String {
        let Some(name) = self.required(flag) else {
            return String::new();
        };
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
            self.problem(flag, format!("`{name}` is not 1 to 64 letters, digits, - or _"));
        }
        name
    }

    fn secret(&mut self, flag: &str) -> String {
        let secret = self.required(flag);
        if secret.as_ref().is_some_and(|s| s.len() < MIN_SECRET_BYTES) {
            self.problem(flag, format!("must have at least {MIN_SECRET_BYTES} bytes"));
        }
        secret.unwrap_or_default()
    }

    fn parse_address(&mut self, flag: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            self.problem(flag, format!("`{text}` is not an IP address and port"));
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

    fn addresses(&mut self, flag: &str) -> Vec<SocketAddr> {
        let text = self.raw.get(flag).cloned().unwrap_or_default();
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        parts.map(|p| self.parse_address(flag, p)).collect()
    }

    fn level(&mut self, flag: &str) -> Level {
        match self.raw.get(flag).map(String::as_str) {
            None | Some("info") => Level::Info,
            Some("error") => Level::Error,
            Some("warn") => Level::Warn,
            Some("debug") => Level::Debug,
            Some(other) => {
                let message = format!("`{other}` is not error, warn, info or debug");
                self.problem(flag, message);
                Level::Info
            }
        }
    }
}

/// Reads the command line and the environment.
///
/// # Errors
///
/// [`Error::Settings`] with every problem found.
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
                    Err(_) => builder.problem(&flag, "needs a value"),
                }
            }
            Ok(Some(lexopt::Arg::Long(flag))) => {
                let flag = flag.to_owned();
                builder.problem(&flag, "no such option");
                parser.optional_value();
            }
            Ok(Some(lexopt::Arg::Short(c))) => builder.problem(&c.to_string(), "no such option"),
            Ok(Some(lexopt::Arg::Value(value))) => {
                let value = value.to_string_lossy().into_owned();
                builder.problem(&value, "is not an option");
            }
            Err(e) => {
                builder.problem("", e);
                break;
            }
        }
    }
    Ok(Command::Run(Box::new(builder.env(env).build()?)))
}
