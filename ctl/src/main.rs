//! Command-line program with which operators control and test laburnumwheel routers.

mod client;
mod cmd;
mod error;
mod util;

use std::process::ExitCode;

use crate::error::Error;

const USAGE: &str = "\
laburnumctl: control and test laburnumwheel routers

Usage:
    laburnumctl COMMAND [options]

Commands:
    check      check configuration files
    apply      publish a configuration
    show       print the configuration in force
    history    list accepted versions
    status     print the counters of a router
    members    list the routers that a router knows
    drain      begin a planned stop of a router
    entry      query a router for the routers that a caller should use
    explain    explain the outcome of a request from the logs of gateways
    replay     replay a trace in virtual time and compare the results with required outcomes
    record     generate a trace from a seed
    relay      measure the overhead of a router on a stream
    slopes     measure the figures that docs/CAPACITY.md is based on
    demo       run routers, upstreams and callers in one process for a few seconds

`laburnumctl COMMAND --help` prints the options of a command. Exit codes: 0 success, 1 failure,
2 invalid usage or configuration, 3 version conflict, 4 outcome unknown.
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
        other => Err(Error::Usage(format!("unknown command `{other}`\n\n{USAGE}"))),
    }
}
