//! Checks configuration files.

use crate::error::Error;
use crate::util::Args;

const USAGE: &str = "\
Check configuration files and print all errors with their files, lines and columns.

Usage:
    laburnumctl check BASE [OVERLAY...]
";

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &[], &[])? else {
        return Ok(());
    };
    let config = args.config()?;
    println!(
        "ok: {} classes, {} groups, {} upstreams, {} organisations",
        config.classes.len(),
        config.groups.len(),
        config.upstreams.len(),
        config.organisations.len()
    );
    Ok(())
}
