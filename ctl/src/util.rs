//! What several commands share: flags, files and tables.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;

use laburnumwheel_core::config;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::Source;
use laburnumwheel_router::kv;

use crate::error::Error;

/// Flags and operands of a command.
pub struct Args {
    parser: lexopt::Parser,
    flags: BTreeMap<String, String>,
    switches: Vec<String>,
    operands: Vec<String>,
}

impl Args {
    /// Arguments behind the command's name.
    pub fn new(args: impl Iterator<Item = OsString>) -> Args {
        Args {
            parser: lexopt::Parser::from_args(args.collect::<Vec<_>>()),
            flags: BTreeMap::new(),
            switches: Vec::new(),
            operands: Vec::new(),
        }
    }

    /// Reads all arguments; `flags` take a value, `switches` do not. `None` after `--help`.
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

    /// Value of a flag, or of its environment variable.
    pub fn get(&self, flag: &str) -> Option<String> {
        let variable = format!("LABURNUMWHEEL_{}", flag.replace('-', "_").to_uppercase());
        self.flags.get(flag).cloned().or_else(|| std::env::var(variable).ok())
    }

    /// Value of a flag that must be there.
    pub fn need(&self, flag: &str) -> Result<String, Error> {
        self.get(flag).ok_or_else(|| Error::Usage(format!("--{flag} is missing")))
    }

    /// Value of a flag, parsed.
    pub fn parse<T: std::str::FromStr>(&self, flag: &str) -> Result<Option<T>, Error> {
        let Some(text) = self.get(flag) else {
            return Ok(None);
        };
        let wrong = |_| Error::Usage(format!("--{flag}: `{text}` is not valid"));
        text.parse().map(Some).map_err(wrong)
    }

    /// Whether a switch was given.
    pub fn has(&self, switch: &str) -> bool {
        self.switches.iter().any(|s| s == switch)
    }

    /// A client of the key-value service that `--key-value` names.
    pub fn key_value(&self) -> Result<kv::Client, Error> {
        let text = self.need("key-value")?;
        let wrong = || Error::Usage(format!("--key-value: `{text}` is not an address"));
        let address: SocketAddr = text.parse().map_err(|_| wrong())?;
        kv::Client::new(address).map_err(|_| wrong())
    }

    /// Everything that is no flag.
    pub fn operands(&self) -> &[String] {
        &self.operands
    }

    /// The one operand.
    pub fn operand(&self, what: &str) -> Result<&str, Error> {
        match self.operands.as_slice() {
            [only] => Ok(only),
            _ => Err(Error::Usage(format!("name {what}"))),
        }
    }

    /// The configuration of the files that the operands name: base first, then overlays.
    pub fn config(&self) -> Result<Config, Error> {
        if self.operands.is_empty() {
            return Err(Error::Usage("name the base file, then the site's overlay".to_owned()));
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

/// Runs `future` on a small runtime.
pub fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(future)
}

/// Prints rows in aligned columns, the first one to the left.
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
