//! `laburnumctl record`

use std::fs;

use laburnumwheel_replay::generate;
use laburnumwheel_replay::site::Site;
use laburnumwheel_replay::trace;

use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
Make a trace from a seed: calm, a minute's burst of three times capacity, calm.

Usage:
    laburnumctl record --outcomes SITE.toml [options] TRACE.csv

Options:
    --outcomes FILE    the site; its name must be auction or kitchen
    --seed N           seed [default: 1]
";

const LENGTH_MS: u64 = 110_000;

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &["outcomes", "seed"], &[])? else {
        return Ok(());
    };
    let file = args.need("outcomes")?;
    let site = Site::read(&file, &util::read(&file)?)?;
    let traffic: &[generate::Traffic] = match site.name.as_str() {
        "auction" => &generate::AUCTION,
        "kitchen" => &generate::KITCHEN,
        other => return Err(Error::Usage(format!("no traffic is known for the site {other}"))),
    };
    let seed = args.parse("seed")?.unwrap_or(1);
    let records = generate::trace(&site, traffic, LENGTH_MS, seed);
    let head = "at_ms,organisation,class,prompt,prefix,output";
    let out = args.operand("the trace to write")?;
    fs::write(out, trace::write(head, &records)).map_err(|e| Error::File(out.to_owned(), e))?;
    println!("{} requests in {out}", records.len());
    Ok(())
}
