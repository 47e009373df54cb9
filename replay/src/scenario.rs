//! The faults that a trace is replayed under.

use derive_more::Display;
use laburnumwheel_core::time::Span;

use crate::simulation::Fault;
use crate::site::Site;

/// A set of faults in the burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum Scenario {
    /// Nothing fails.
    None,
    /// One engine becomes four times slower.
    Straggler,
    /// One engine crashes in the middle of its streams.
    Crash,
    /// Both, at different engines.
    StragglerAndCrash,
    /// One engine stops by plan.
    StopEngine,
    /// Load reports repeat themselves for ten seconds.
    FrozenReports,
    /// All connections to one engine fall silent; new ones work.
    Silence,
    /// One router is gone without a word.
    LoseRouter,
    /// One router stops by plan.
    StopRouter,
    /// The key-value service is out for a minute.
    Outage,
}

impl Scenario {
    /// All of them.
    pub const ALL: [Scenario; 10] = [
        Scenario::None,
        Scenario::Straggler,
        Scenario::Crash,
        Scenario::StragglerAndCrash,
        Scenario::StopEngine,
        Scenario::FrozenReports,
        Scenario::Silence,
        Scenario::LoseRouter,
        Scenario::StopRouter,
        Scenario::Outage,
    ];

    /// Its faults, with their times in milliseconds of the trace.
    pub fn faults(self, site: &Site) -> Vec<(u64, Fault)> {
        let (from, _) = site.burst_ms;
        let at = |seconds: u64| from + seconds * 1_000;
        let straggler = (at(10), Fault::Straggler { upstream: 2, factor: 4 });
        let crash = (at(20), Fault::Crash { upstream: 5 });
        match self {
            Scenario::None => Vec::new(),
            Scenario::Straggler => vec![straggler],
            Scenario::Crash => vec![crash],
            Scenario::StragglerAndCrash => vec![straggler, crash],
            Scenario::StopEngine => vec![(at(20), Fault::Stop { upstream: 5 })],
            Scenario::FrozenReports => vec![(at(20), Fault::FreezeReports(Span::secs(10)))],
            Scenario::Silence => vec![(at(20), Fault::Silence { upstream: 5 })],
            Scenario::LoseRouter => vec![(at(20), Fault::LoseRouter { router: 4 })],
            Scenario::StopRouter => vec![(at(20), Fault::StopRouter { router: 4 })],
            Scenario::Outage => vec![(at(10), Fault::Outage(Span::secs(60)))],
        }
    }
}
