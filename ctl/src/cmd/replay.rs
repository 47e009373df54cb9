//! Replays a trace in virtual time.

use laburnumwheel_replay::baseline::Kind;
use laburnumwheel_replay::error;
use laburnumwheel_replay::report;
use laburnumwheel_replay::scenario::Scenario;
use laburnumwheel_replay::simulation;
use laburnumwheel_replay::simulation::Policy;
use laburnumwheel_replay::site::Site;
use laburnumwheel_replay::trace;

use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
Replay a trace in virtual time with the router's core or a baseline, and compare the results of
the core with the required outcomes of the site. Exits with 1 if an outcome is missed.

Usage:
    laburnumctl replay --outcomes SITE.toml [options] TRACE.csv

Options:
    --outcomes FILE    description of the site and its required outcomes
    --policy NAME      core, round-robin, least-outstanding or all [default: core]
    --fault NAME       none, straggler, crash, straggler-and-crash, stop-engine, frozen-reports,
                       silence, lose-router, stop-router, outage or all [default: none]
    --seed N           seed of the routers' random choices [default: 1]
";

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &["outcomes", "policy", "fault", "seed"], &[])? else {
        return Ok(());
    };
    let file = args.required("outcomes")?;
    let site = Site::read(&file, &util::read(&file)?)?;
    let name = args.operand("the trace")?;
    let records = trace::read(name, &util::read(name)?)?;
    let seed = args.parse("seed")?.unwrap_or(1);
    let policies = policies(&args.get("policy").unwrap_or_else(|| "core".to_owned()))?;
    let fault = args.get("fault").unwrap_or_else(|| "none".to_owned());
    let scenarios = if fault == "all" {
        Scenario::ALL.to_vec()
    } else {
        let known = Scenario::ALL.into_iter().find(|s| s.to_string() == fault);
        vec![known.ok_or_else(|| Error::Usage(format!("unknown fault `{fault}`\n\n{USAGE}")))?]
    };
    let mut missed = Vec::new();
    for scenario in scenarios {
        for (name, policy) in &policies {
            let faults = scenario.faults(&site);
            let results = simulation::run(&site, &records, *policy, &faults, seed)?;
            println!("\n{}, {name}, fault {scenario}", site.name);
            util::table(&report::rows(&site, &results));
            println!("{}", report::summary(&results));
            if *policy == Policy::Core {
                let these = report::missed(&site, &results, scenario != Scenario::None);
                missed.extend(these.into_iter().map(|m| format!("{scenario}: {m}")));
            }
        }
    }
    if missed.is_empty() {
        println!("\nall stated outcomes reached");
        return Ok(());
    }
    Err(error::Error::Missed(missed).into())
}

/// Returns the policies that a value of `--policy` selects, with their names.
fn policies(name: &str) -> Result<Vec<(&'static str, Policy)>, Error> {
    let all = [
        ("core", Policy::Core),
        ("round-robin", Policy::Baseline(Kind::RoundRobin)),
        ("least-outstanding", Policy::Baseline(Kind::LeastOutstanding)),
    ];
    let chosen: Vec<_> = all.into_iter().filter(|(n, _)| name == "all" || *n == name).collect();
    if chosen.is_empty() {
        return Err(Error::Usage(format!("unknown policy `{name}`\n\n{USAGE}")));
    }
    Ok(chosen)
}
