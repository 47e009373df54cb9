//! Parses the base file and a site's overlay, and validates the merged configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;

use derive_more::Display;
use thiserror::Error;
use toml_edit::Document;
use toml_edit::Item;
use toml_edit::Table;

use super::Class;
use super::Config;
use super::Deployment;
use super::Group;
use super::Kind;
use super::Organisation;
use super::TIERS;
use super::Upstream;
use crate::time::Span;

/// Upper bound on the length of a string, in bytes.
const MAX_TEXT_BYTES: usize = 256;
/// Upper bound on durations and the default of `finish_ms`.
const DAY_MS: i64 = 86_400_000;

/// A configuration file.
#[derive(Clone, Debug)]
pub struct Source {
    /// Name shown in findings.
    pub name: String,
    /// TOML text.
    pub text: String,
}

/// An error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{file}:{line}:{column}: {message}")]
pub struct Finding {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Description of the error.
    pub message: String,
}

/// All errors in a configuration, in order of file and position.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

/// Number of a source and a byte range in its text.
type Location = (usize, Range<usize>);

/// Value of a field with its location.
#[derive(Clone)]
struct Field {
    item: Item,
    location: Location,
}

/// Merged fields of an entry with the location of its first occurrence.
struct Entry {
    location: Location,
    fields: BTreeMap<String, Field>,
}

/// Merges the entries of all sources and collects findings.
struct Reader<'a> {
    sources: &'a [Source],
    findings: Vec<Finding>,
}

/// Parses `sources` in order; entries of later files override those of earlier ones.
///
/// An entry with the same `name` as one of an earlier file replaces only the fields that it has.
///
/// # Errors
///
/// The findings of all files together; there is no partial result.
pub fn parse(sources: &[Source]) -> Result<Config, Findings> {
    let mut reader = Reader { sources, findings: Vec::new() };
    let mut tables: BTreeMap<&'static str, BTreeMap<String, Entry>> = BTreeMap::new();
    for (i, source) in sources.iter().enumerate() {
        match Document::parse(source.text.as_str()) {
            Ok(doc) => reader.merge(i, doc.as_table(), &mut tables),
            Err(e) => reader.report(&(i, e.span().unwrap_or(0..0)), e.message().to_owned()),
        }
    }
    let config = reader.config(&mut tables);
    reader.findings.sort_by(|a, b| (&a.file, a.line, a.column).cmp(&(&b.file, b.line, b.column)));
    if reader.findings.is_empty() { Ok(config) } else { Err(Findings(reader.findings)) }
}

/// Names of the tables in a configuration file.
const KINDS: [&str; 4] = ["class", "group", "upstream", "organisation"];

impl Reader<'_> {
    /// Adds a finding at the start of a location.
    fn report(&mut self, location: &Location, message: String) {
        let source = &self.sources[location.0];
        let offset = location.1.start.min(source.text.len());
        let before = source.text.get(..offset).unwrap_or(&source.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        self.findings.push(Finding { file: source.name.clone(), line, column, message });
    }

    fn merge(
        &mut self,
        file: usize,
        root: &Table,
        tables: &mut BTreeMap<&'static str, BTreeMap<String, Entry>>,
    ) {
        for (key, item) in root.iter() {
            let location = (file, item.span().unwrap_or(0..0));
            let Some(kind) = KINDS.iter().find(|k| **k == key) else {
                self.report(&location, format!("unknown table `{key}`"));
                continue;
            };
            let Some(list) = item.as_array_of_tables() else {
                self.report(&location, format!("`{key}` must be written as [[{key}]]"));
                continue;
            };
            let mut seen = BTreeSet::new();
            for table in list.iter() {
                self.merge_entry(file, kind, table, tables.entry(kind).or_default(), &mut seen);
            }
        }
    }

    fn merge_entry(
        &mut self,
        file: usize,
        kind: &str,
        table: &Table,
        entries: &mut BTreeMap<String, Entry>,
        seen: &mut BTreeSet<String>,
    ) {
        let location = (file, table.span().unwrap_or(0..0));
        let Some(name) = table.get("name").and_then(Item::as_str) else {
            self.report(&location, format!("{kind} without a `name`"));
            return;
        };
        if !seen.insert(name.to_owned()) {
            self.report(&location, format!("{kind} `{name}` is defined twice in this file"));
            return;
        }
        let entry = entries
            .entry(name.to_owned())
            .or_insert_with(|| Entry { location: location.clone(), fields: BTreeMap::new() });
        for (key, item) in table.iter() {
            let location = (file, item.span().unwrap_or_else(|| location.1.clone()));
            entry.fields.insert(key.to_owned(), Field { item: item.clone(), location });
        }
    }

    fn config(&mut self, tables: &mut BTreeMap<&'static str, BTreeMap<String, Entry>>) -> Config {
        let mut config = Config::default();
        let mut take = |kind| tables.remove(kind).unwrap_or_default();
        let (classes, groups) = (take("class"), take("group"));
        let (upstreams, orgs) = (take("upstream"), take("organisation"));
        let mut models = BTreeMap::new();
        for entry in classes.into_values() {
            config.classes.push(self.class(entry));
        }
        for entry in groups.into_values() {
            config.groups.push(self.group(entry, &mut models));
        }
        let groups: BTreeSet<_> = config.groups.iter().map(|g| g.name.clone()).collect();
        for entry in upstreams.into_values() {
            config.upstreams.push(self.upstream(entry, &groups));
        }
        let classes: BTreeSet<_> = config.classes.iter().map(|c| c.name.clone()).collect();
        let mut hashes = BTreeMap::new();
        for entry in orgs.into_values() {
            config.organisations.push(self.organisation(entry, &classes, &mut hashes));
        }
        config
    }

    fn class(&mut self, mut e: Entry) -> Class {
        let class = Class {
            name: self.text(&mut e, "name", None),
            tier: self.int(&mut e, "tier", None, 0, TIERS as i64 - 1) as u8,
            protected: self.flag(&mut e, "protected", false),
            first_token: self.millis(&mut e, "first_token_ms", None),
            finish: self.millis(&mut e, "finish_ms", Some(DAY_MS)),
            patience: self.millis(&mut e, "patience_ms", Some(30_000)),
            trickle: self.int(&mut e, "trickle_permille", Some(20), 1, 100) as u32,
        };
        self.report_unknown(e);
        class
    }

    fn group(&mut self, mut e: Entry, models: &mut BTreeMap<String, String>) -> Group {
        let kind_location = e.fields.get("kind").map(|f| f.location.clone());
        let kind = match self.text(&mut e, "kind", Some("engine")).as_str() {
            "engine" => Kind::Engine,
            "service" => Kind::Service,
            other => {
                let location = kind_location.unwrap_or_else(|| e.location.clone());
                self.report(&location, format!("kind is `{other}`, not engine or service"));
                Kind::Engine
            }
        };
        let models_location =
            e.fields.get("models").map_or(e.location.clone(), |f| f.location.clone());
        let group = Group {
            name: self.text(&mut e, "name", None),
            kind,
            models: self.strings(&mut e, "models"),
            slots: self.int(&mut e, "slots", Some(8), 1, 4096) as u32,
            safe_refusals: self.flag(&mut e, "safe_refusals", false),
            checks_fencing: self.flag(&mut e, "checks_fencing", false),
            deployment: Deployment {
                version: self.text(&mut e, "version", Some("")),
                adapters: self.strings(&mut e, "adapters"),
                role: self.text(&mut e, "role", Some("")),
            },
        };
        if kind == Kind::Engine && group.models.is_empty() {
            self.report(&models_location, format!("engine group `{}` serves no model", group.name));
        }
        for model in &group.models {
            if let Some(other) = models.insert(model.clone(), group.name.clone()) {
                self.report(
                    &models_location,
                    format!("model `{model}` is served by `{other}` too"),
                );
            }
        }
        self.report_unknown(e);
        group
    }

    fn upstream(&mut self, mut e: Entry, groups: &BTreeSet<String>) -> Upstream {
        let address_location =
            e.fields.get("address").map_or(e.location.clone(), |f| f.location.clone());
        let group_location =
            e.fields.get("group").map_or(e.location.clone(), |f| f.location.clone());
        let upstream = Upstream {
            name: self.text(&mut e, "name", None),
            group: self.text(&mut e, "group", None),
            address: self.text(&mut e, "address", None),
            failure_domain: self.text(&mut e, "failure_domain", None),
        };
        if !upstream.address.is_empty() && upstream.address.parse::<std::net::SocketAddr>().is_err()
        {
            let message = format!("`{}` is not an IP address and port", upstream.address);
            self.report(&address_location, message);
        }
        if !upstream.group.is_empty() && !groups.contains(&upstream.group) {
            self.report(&group_location, format!("no group is called `{}`", upstream.group));
        }
        self.report_unknown(e);
        upstream
    }

    fn organisation(
        &mut self,
        mut e: Entry,
        classes: &BTreeSet<String>,
        hashes: &mut BTreeMap<String, String>,
    ) -> Organisation {
        let hash_location =
            e.fields.get("key_hash").map_or(e.location.clone(), |f| f.location.clone());
        let class_location =
            e.fields.get("default_class").map_or(e.location.clone(), |f| f.location.clone());
        let org = Organisation {
            name: self.text(&mut e, "name", None),
            key_hash: self.text(&mut e, "key_hash", None).to_ascii_lowercase(),
            default_class: self.text(&mut e, "default_class", None),
            requests_per_second: self.int(&mut e, "requests_per_second", Some(0), 0, 1_000_000)
                as u32,
            tokens_per_second: self.int(&mut e, "tokens_per_second", Some(0), 0, 1_000_000_000)
                as u32,
            weight: self.int(&mut e, "weight", Some(1), 1, 1000) as u32,
        };
        let is_hex =
            org.key_hash.len() == 64 && org.key_hash.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hex {
            self.report(&hash_location, "key_hash must be 64 hexadecimal digits".to_owned());
        } else if let Some(other) = hashes.insert(org.key_hash.clone(), org.name.clone()) {
            self.report(&hash_location, format!("same key as organisation `{other}`"));
        }
        if !org.default_class.is_empty() && !classes.contains(&org.default_class) {
            self.report(&class_location, format!("no class is called `{}`", org.default_class));
        }
        self.report_unknown(e);
        org
    }

    fn report_unknown(&mut self, entry: Entry) {
        for (key, field) in entry.fields {
            self.report(&field.location, format!("unknown setting `{key}`"));
        }
    }

    fn report_missing(&mut self, entry: &Entry, key: &str) {
        self.report(&entry.location, format!("`{key}` is missing"));
    }

    fn text(&mut self, entry: &mut Entry, key: &str, default: Option<&str>) -> String {
        let Some(field) = entry.fields.remove(key) else {
            if default.is_none() {
                self.report_missing(entry, key);
            }
            return default.unwrap_or("").to_owned();
        };
        match field.item.as_str() {
            Some(text) if !text.is_empty() && text.len() <= MAX_TEXT_BYTES => text.to_owned(),
            Some(_) => {
                self.report(
                    &field.location,
                    format!("`{key}` must have 1 to {MAX_TEXT_BYTES} bytes"),
                );
                String::new()
            }
            None => {
                self.report(&field.location, format!("`{key}` must be a string"));
                String::new()
            }
        }
    }

    fn strings(&mut self, entry: &mut Entry, key: &str) -> Vec<String> {
        let Some(field) = entry.fields.remove(key) else {
            return Vec::new();
        };
        let Some(array) = field.item.as_array() else {
            self.report(&field.location, format!("`{key}` must be an array of strings"));
            return Vec::new();
        };
        let strings: Vec<_> = array.iter().filter_map(|v| v.as_str()).map(str::to_owned).collect();
        if strings.len() != array.len() {
            self.report(&field.location, format!("`{key}` must hold only strings"));
        }
        strings
    }

    fn int(&mut self, e: &mut Entry, key: &str, default: Option<i64>, min: i64, max: i64) -> i64 {
        let Some(field) = e.fields.remove(key) else {
            if default.is_none() {
                self.report_missing(e, key);
            }
            return default.unwrap_or(min);
        };
        match field.item.as_integer() {
            Some(n) if (min..=max).contains(&n) => n,
            Some(n) => {
                self.report(&field.location, format!("`{key}` is {n}, not {min} to {max}"));
                min
            }
            None => {
                self.report(&field.location, format!("`{key}` must be a whole number"));
                min
            }
        }
    }

    fn millis(&mut self, entry: &mut Entry, key: &str, default: Option<i64>) -> Span {
        Span::millis(self.int(entry, key, default, 1, DAY_MS) as u64)
    }

    fn flag(&mut self, entry: &mut Entry, key: &str, default: bool) -> bool {
        let Some(field) = entry.fields.remove(key) else {
            return default;
        };
        match field.item.as_bool() {
            Some(flag) => flag,
            None => {
                self.report(&field.location, format!("`{key}` must be true or false"));
                default
            }
        }
    }
}
