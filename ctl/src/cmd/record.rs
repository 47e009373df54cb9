//! Generates a trace.

use std::fs;

use laburnumwheel_replay::generate;
use laburnumwheel_replay::site::Site;
use laburnumwheel_replay::trace;

use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
Generate a trace from a seed, with a burst of a minute at three times the capacity of the site.

Usage:
    laburnumctl record --outcomes SITE.toml [options] TRACE.csv

Options:
    --outcomes FILE    description of the site; its name must be auction or kitchen
    --seed N           seed of the random choices [default: 1]
";

/// Length of a trace in milliseconds.
const LENGTH_MS: u64 = 110_000;

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &["outcomes", "seed"], &[])? else {
        return Ok(());
    };
    let file = args.required("outcomes")?;
    let site = Site::read(&file, &util::read(&file)?)?;
    let traffic: &[generate::Traffic] = match site.name.as_str() {
        "auction" => &generate::AUCTION,
        "kitchen" => &generate::KITCHEN,
        other => return Err(Error::Usage(format!("no traffic is defined for the site {other}"))),
    };
    let seed = args.parse("seed")?.unwrap_or(1);
    let records = generate::trace(&site, traffic, LENGTH_MS, seed);
    let header = "at_ms,organisation,class,prompt,prefix,output";
    let out = args.operand("the trace to write")?;
    fs::write(out, trace::write(header, &records)).map_err(|e| Error::File(out.to_owned(), e))?;
    println!("{} requests in {out}", records.len());
    Ok(())
}
