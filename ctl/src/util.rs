//! Arguments, files and tables of commands.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;

use laburnumwheel_core::config;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::Source;
use laburnumwheel_router::kv;

use crate::error::Error;

/// Flags, switches and operands of a command.
pub struct Args {
    parser: lexopt::Parser,
    flags: BTreeMap<String, String>,
    switches: Vec<String>,
    operands: Vec<String>,
}

impl Args {
    /// Takes the arguments after the command's name, without parsing them.
    pub fn new(args: impl Iterator<Item = OsString>) -> Args {
        Args {
            parser: lexopt::Parser::from_args(args.collect::<Vec<_>>()),
            flags: BTreeMap::new(),
            switches: Vec::new(),
            operands: Vec::new(),
        }
    }

    /// Parses all arguments; `flags` take a value, `switches` do not. Prints the usage and returns
    /// `None` for `--help`.
    pub fn read(
        mut self,
        usage: &str,
        flags: &[&str],
        switches: &[&str],
    ) -> Result<Option<Args>, Error> {
        while let Some(arg) = self.parser.next()? {
            match arg {
                lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                    print!("{usage}");
                    return Ok(None);
                }
                lexopt::Arg::Long(name) if flags.contains(&name) => {
                    let name = name.to_owned();
                    let value = self.parser.value()?.to_string_lossy().into_owned();
                    self.flags.insert(name, value);
                }
                lexopt::Arg::Long(name) if switches.contains(&name) => {
                    self.switches.push(name.to_owned());
                }
                lexopt::Arg::Value(value) => {
                    self.operands.push(value.to_string_lossy().into_owned());
                }
                other => return Err(Error::Usage(format!("{}\n\n{usage}", other.unexpected()))),
            }
        }
        Ok(Some(self))
    }

    /// Returns the value of a flag, or else of its environment variable.
    pub fn get(&self, flag: &str) -> Option<String> {
        let variable = format!("LABURNUMWHEEL_{}", flag.replace('-', "_").to_uppercase());
        self.flags.get(flag).cloned().or_else(|| std::env::var(variable).ok())
    }

    /// Returns the value of a required flag.
    pub fn required(&self, flag: &str) -> Result<String, Error> {
        self.get(flag).ok_or_else(|| Error::Usage(format!("--{flag} is missing")))
    }

    /// Parses the value of a flag.
    pub fn parse<T: std::str::FromStr>(&self, flag: &str) -> Result<Option<T>, Error> {
        let Some(text) = self.get(flag) else {
            return Ok(None);
        };
        let invalid = |_| Error::Usage(format!("--{flag}: `{text}` is not valid"));
        text.parse().map(Some).map_err(invalid)
    }

    /// Whether a switch was given.
    pub fn has(&self, switch: &str) -> bool {
        self.switches.iter().any(|s| s == switch)
    }

    /// Returns a client of the key-value service at the address in `--key-value`.
    pub fn key_value(&self) -> Result<kv::Client, Error> {
        let text = self.required("key-value")?;
        let invalid =
            || Error::Usage(format!("--key-value: `{text}` is not an IP address and port"));
        let address: SocketAddr = text.parse().map_err(|_| invalid())?;
        kv::Client::new(address).map_err(|_| invalid())
    }

    /// Returns the operands: all arguments other than flags and switches.
    pub fn operands(&self) -> &[String] {
        &self.operands
    }

    /// Returns the only operand; `description` is its description in the error.
    pub fn operand(&self, description: &str) -> Result<&str, Error> {
        match self.operands.as_slice() {
            [only] => Ok(only),
            _ => Err(Error::Usage(format!("expected one operand: {description}"))),
        }
    }

    /// Parses the configuration in the files that the operands name: the base, then its overlays.
    pub fn config(&self) -> Result<Config, Error> {
        if self.operands.is_empty() {
            return Err(Error::Usage("expected the base file, then its overlays".to_owned()));
        }
        let source =
            |name: &String| Ok::<_, Error>(Source { name: name.clone(), text: read(name)? });
        let sources = self.operands.iter().map(source).collect::<Result<Vec<_>, _>>()?;
        Ok(config::parse(&sources)?)
    }
}

/// Reads a file.
pub fn read(name: &str) -> Result<String, Error> {
    fs::read_to_string(name).map_err(|e| Error::File(name.to_owned(), e))
}

/// Runs a future on a multi-threaded runtime.
pub fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(future)
}

/// Prints rows in columns, the first aligned to the left and the others to the right.
pub fn table(rows: &[Vec<String>]) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| rows.iter().filter_map(|r| r.get(c)).map(String::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths).enumerate().map(|(i, (cell, w))| {
            if i == 0 { format!("{cell:<w$}") } else { format!("{cell:>w$}") }
        });
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}
