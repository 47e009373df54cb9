//! Explains the outcome of a request from the logs of gateways.

use std::collections::BTreeMap;
use std::fs;

use crate::error::Error;
use crate::util::Args;

const USAGE: &str = "\
Explain the outcome of a request from the logs of gateways.

Usage:
    laburnumctl explain REQUEST-ID FILE...

Prints the log lines of the request in the order of their times, each with its file and line number,
and the cause of the outcome. If the request was refused for a part of its prompt, the lines of that
part's crashes and of its quarantine follow. Clocks of hosts differ, so that the order is exact only for lines of
the same host.
";

/// Log line of the request.
struct Entry<'a> {
    /// File and line number.
    location: String,
    /// Time in microseconds.
    time: u64,
    fields: BTreeMap<&'a str, &'a str>,
    text: &'a str,
}

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &[], &[])? else {
        return Ok(());
    };
    let [id, files @ ..] = args.operands() else {
        return Err(Error::Usage(USAGE.to_owned()));
    };
    if files.is_empty() {
        return Err(Error::Usage(USAGE.to_owned()));
    }
    let mut texts = Vec::new();
    for file in files {
        let text = fs::read_to_string(file).map_err(|e| Error::File(file.clone(), e))?;
        texts.push((file, text));
    }
    let mut entries = Vec::new();
    for (file, text) in &texts {
        entries.extend(find(id, file, text)?);
    }
    entries.sort_by_key(|e| e.time);
    for entry in &entries {
        println!("{}: {}", entry.location, entry.text);
    }
    let part = entries.iter().rev().find(|e| is_event(e, "call_has_quarantined_part"));
    if let Some(part) = part {
        for (file, text) in &texts {
            print_crashes(part, file, text);
        }
    }
    let last = entries.iter().rev().find(|e| is_event(e, "call"));
    match (last, entries.is_empty()) {
        (Some(end), _) => println!("cause: {}", cause(end, &entries)),
        (None, false) => println!("cause: no end is logged; its gateway has ended, or left it out"),
        (None, true) => return Err(Error::Failed(format!("no line names request {id}"))),
    }
    Ok(())
}

fn is_event(entry: &Entry<'_>, event: &str) -> bool {
    entry.fields.get("event") == Some(&event)
}

/// Prints the lines of a text on a quarantined part: crashes of replicas that ran it, and its
/// quarantines. `refusal` names the part.
fn print_crashes(refusal: &Entry<'_>, file: &str, text: &str) {
    let get = |name: &str| refusal.fields.get(name).copied().unwrap_or_default();
    let (part, feature) = (get("part"), get("feature"));
    for (at, line) in text.lines().enumerate() {
        let fields: BTreeMap<&str, &str> =
            line.split_whitespace().filter_map(|f| f.split_once('=')).collect();
        let field = |name: &str| fields.get(name).copied().unwrap_or_default();
        let is_crash = field("event") == "attempt_failed"
            && field("fault") == "broken"
            && field("parts").split(',').any(|id| id == part);
        let is_quarantine = field("event") == "part_quarantined" && field("feature") == feature;
        if is_crash || is_quarantine {
            println!("{file}:{}: {line}", at + 1);
        }
    }
}

/// Returns the lines of a text that belong to a request.
fn find<'a>(id: &str, file: &str, text: &'a str) -> Result<Vec<Entry<'a>>, Error> {
    let mut found = Vec::new();
    for (at, line) in text.lines().enumerate() {
        if !line.contains(id) {
            continue;
        }
        // Log collectors may have added a prefix to the line.
        let Some(start) = line.find("time_us=") else {
            return Err(Error::Failed(format!("{file}:{}: field time_us is missing", at + 1)));
        };
        let line = &line[start..];
        let fields: BTreeMap<&str, &str> =
            line.split_whitespace().filter_map(|f| f.split_once('=')).collect();
        if fields.get("request") != Some(&id) {
            continue;
        }
        let time = fields.get("time_us").and_then(|t| t.parse().ok());
        let time = time
            .ok_or_else(|| Error::Failed(format!("{file}:{}: time_us is not a number", at + 1)))?;
        found.push(Entry { location: format!("{file}:{}", at + 1), time, fields, text: line });
    }
    Ok(found)
}

/// Describes from which engines to which others the run of the request has gone.
fn engine_changes(entries: &[Entry<'_>]) -> String {
    let change = |entry: &Entry<'_>| {
        let get = |name: &str| entry.fields.get(name).copied().unwrap_or("?");
        let verb = match (get("event"), get("outcome")) {
            ("stream_moved", "moved") => "moved",
            ("stream_continued", "continued") => "continued from its copy",
            _ => return None,
        };
        let (from, to, events) = (get("from"), get("to"), get("events"));
        Some(format!("; {verb} from {from} to {to} after {events} events"))
    };
    entries.iter().filter_map(change).collect()
}

/// Describes the cause of the outcome of the request whose last line is `end`.
fn cause(end: &Entry<'_>, entries: &[Entry<'_>]) -> String {
    let get = |name: &str| end.fields.get(name).copied().unwrap_or("?");
    let fault = entries.iter().rev().find_map(|e| e.fields.get("fault").copied());
    match (get("outcome"), end.fields.get("reason").copied()) {
        ("refused", Some("stale_configuration")) | ("stale_configuration", _) => format!(
            "refused and not run: the configuration was last proved current {} ms before",
            get("proof_age_ms")
        ),
        ("refused", Some(reason)) => {
            format!("refused and not run: {reason}, by version {}", get("version"))
        }
        ("overloaded", _) => format!(
            "refused for load: {} ms were expected at replica {} with {} calls, {} waiting, as \
             seen {} ms before",
            get("expected_ms"),
            get("replica"),
            get("load"),
            get("waiting"),
            get("report_age_ms")
        ),
        ("limited", _) => {
            "refused and not run: every replica states a limit, and none had a permit left"
                .to_owned()
        }
        ("part_quarantined", _) => {
            "refused and not run: replicas crashed under a part of its prompt".to_owned()
        }
        ("answered", _) => {
            let changes = engine_changes(entries);
            format!("answered by replica {} after {} ms{changes}", get("replica"), get("took_ms"))
        }
        (outcome, _) => format!(
            "{outcome} with status {} after {} attempts; the last fault was {}",
            get("status"),
            get("attempts"),
            fault.unwrap_or("none")
        ),
    }
}
