//! Scenarios of faults under which traces are replayed.

use derive_more::Display;
use laburnumwheel_core::time::Span;

use crate::simulation::Fault;
use crate::site::Site;

/// Faults that are injected in the burst of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum Scenario {
    /// No faults.
    None,
    /// One engine becomes four times as slow.
    Straggler,
    /// One engine crashes while it sends streams.
    Crash,
    /// One engine becomes four times as slow and another one crashes.
    StragglerAndCrash,
    /// One engine makes a planned stop.
    StopEngine,
    /// Load reports are out of date for ten seconds.
    FrozenReports,
    /// Existing connections to one engine go silent; new ones work.
    Silence,
    /// One router disappears without notice.
    LoseRouter,
    /// One router makes a planned stop.
    StopRouter,
    /// The key-value service is unavailable for a minute.
    Outage,
}

impl Scenario {
    /// All scenarios, in the order of a report.
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

    /// Returns the faults, with their times in milliseconds of the trace.
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
