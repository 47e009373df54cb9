//! The operators' command.

mod client;
mod cmd;
mod error;
mod util;

use std::process::ExitCode;

use crate::error::Error;

const USAGE: &str = "\
laburnumctl: operate laburnumwheel routers

Usage:
    laburnumctl COMMAND [options]

Commands:
    check      check configuration files
    apply      have a configuration accepted
    show       print the configuration in force
    history    list accepted versions
    status     counters of a router
    members    routers as one router sees them
    drain      begin a planned stop of a router
    entry      ask a router which routers to use
    explain    tell what happened to one request, from logs of gateways
    replay     play a recorded trace in virtual time and compare with stated outcomes
    record     make a trace from a seed
    relay      measure what a router adds to a stream
    slopes     measure what docs/CAPACITY.md is worked out from
    demo       run everything in one process for a few seconds

`laburnumctl COMMAND --help` tells more. Exit codes: 0 done, 1 failed, 2 wrong usage or
configuration, 3 conflict, 4 outcome unknown.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.exit_code())
        }
    }
}

fn run() -> Result<(), Error> {
    let mut args = std::env::args_os().skip(1);
    let command = args.next().unwrap_or_default();
    let args = util::Args::new(args);
    match command.to_str().unwrap_or_default() {
        "check" => cmd::check::run(args),
        "apply" => cmd::apply::run(args),
        "show" => cmd::show::run(args),
        "history" => cmd::history::run(args),
        "status" => cmd::status::run(args),
        "members" => cmd::members::run(args),
        "drain" => cmd::drain::run(args),
        "entry" => cmd::entry::run(args),
        "explain" => cmd::explain::run(args),
        "replay" => cmd::replay::run(args),
        "record" => cmd::record::run(args),
        "relay" => cmd::relay::run(args),
        "slopes" => cmd::slopes::run(args),
        "demo" => cmd::demo::run(args),
        "-h" | "--help" | "help" => {
            print!("{USAGE}");
            Ok(())
        }
        "-V" | "--version" => {
            println!("laburnumctl {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        "" => Err(Error::Usage(USAGE.to_owned())),
        other => Err(Error::Usage(format!("no such command: {other}\n\n{USAGE}"))),
    }
}
