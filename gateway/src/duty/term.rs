//! Carries out the duties during one term of a leader.
//!
//! A usage report is fixed by a write to the journal before it is sent, so that the next leader can
//! only repeat the same report.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumwheel_core::gateway::autoscaler::Autoscaler;
use laburnumwheel_core::gateway::journal::Journal;
use laburnumwheel_core::gateway::leader;
use laburnumwheel_core::gateway::leader::Outcome;
use laburnumwheel_core::gateway::leader::Token;
use laburnumwheel_core::gateway::usage::Report;
use laburnumwheel_core::gateway::usage::Window;
use laburnumwheel_core::gateway::wall::WallTime;
use laburnumwheel_core::time::Time;

use super::Entry;
use super::State;
use super::Write;
use crate::clock;
use crate::era::Eras;
use crate::log::Line;
use crate::shared::Shared;
use crate::store::Error;
use crate::store::with_timeout;

/// Time from one check for work to the next.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Number of consecutive failed writes of the journal at which the leader resigns.
const MAX_FAILED_WRITES: u32 = 3;

/// State of one term of this gateway.
pub(super) struct Term<'a> {
    pub(super) shared: &'a Shared,
    pub(super) duties: &'a State,
    pub(super) eras: &'a Eras,
    pub(super) token: u64,
    pub(super) stored: Entry,
    /// Whether the journal in the store may differ from `stored`.
    pub(super) is_stale: bool,
    /// Failed writes of the journal since the last successful one.
    pub(super) failed_writes: u32,
    /// Newest window whose report the platform has accepted.
    pub(super) last_accepted: Window,
    /// Newest window whose report was omitted.
    pub(super) last_omitted: Window,
    pub(super) autoscalers: BTreeMap<String, Autoscaler>,
    pub(super) scaled_at: Time,
    pub(super) began: Time,
}

/// Carries out the duties until the term ends.
pub(super) async fn run_term(shared: Shared, eras: Eras, token: u64, stored: Entry) {
    let Some(duties) = &shared.duties else {
        return;
    };
    let (is_stale, failed_writes, last_accepted, last_omitted) = (false, 0, 0, 0);
    let (autoscalers, scaled_at) = (BTreeMap::new(), Time(0));
    let mut term = Term {
        shared: &shared,
        duties,
        eras: &eras,
        token,
        stored,
        is_stale,
        failed_writes,
        last_accepted,
        last_omitted,
        autoscalers,
        scaled_at,
        began: clock::now(),
    };
    while duties.token() == token {
        if duties.election.borrow().active_token(clock::now()).is_some() {
            term.report_usage().await;
            term.scale().await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Term<'_> {
    fn wall(&self) -> WallTime {
        self.duties.wall.borrow().at(clock::now())
    }

    /// Fixes and sends the reports that are due.
    async fn report_usage(&mut self) {
        if !self.ensure_journal().await {
            return;
        }
        let wall = self.wall();
        let windows = match self.duties.usage.borrow().as_ref() {
            Some(collector) => collector.reportable(wall),
            None => return,
        };
        let last_accepted = self.last_accepted;
        for window in windows.into_iter().filter(|w| *w > last_accepted) {
            let fixed = self.stored.journal.as_ref().and_then(|j| j.report(window)).cloned();
            let fixed = match fixed {
                Some(report) => Some(report),
                // A report closes all earlier windows, so later ones wait too.
                None if self.awaits_counts(window) => return,
                None => self.fix_report(window).await,
            };
            let Some(report) = fixed else {
                if self.is_stale {
                    return;
                }
                continue;
            };
            if !self.send_report(report).await {
                return;
            }
        }
    }

    /// Whether a window may be reported, but more counts are expected.
    fn awaits_counts(&self, window: Window) -> bool {
        let live = self.shared.gateway.borrow().live_peers(clock::now()) + 1;
        let (wall, began) = (self.wall(), self.duties.wall.borrow().at(self.began));
        let is_open = self.stored.journal.as_ref().is_some_and(|j| j.is_open(window));
        let collector = self.duties.usage.borrow();
        is_open && collector.as_ref().is_some_and(|c| !c.is_settled(window, wall, began, live))
    }

    /// Reads the journal again if `stored` may be out of date, and rewrites it if it belongs to
    /// another era than this term. Returns whether the journal is up to date.
    async fn ensure_journal(&mut self) -> bool {
        if self.is_stale {
            let stored = with_timeout((self.duties.calls.read)()).await;
            self.shared.metrics.count_store_call("journal", stored.is_ok());
            let Ok(stored) = stored else {
                return false;
            };
            self.stored = stored;
            self.is_stale = false;
        }
        let Some(token) = self.duties.election.borrow().active_token(clock::now()) else {
            return false;
        };
        let journal = self.stored.journal.clone().unwrap_or_default();
        if self.stored.journal.is_some() && journal.era == token.era() {
            return true;
        }
        // The reports sent by a leader of another era are unknown, so no window is reported for
        // which such a leader may have sent a report.
        let last_window = match self.duties.usage.borrow().as_ref() {
            Some(collector) => collector.last_possibly_reported(self.wall()),
            None => 0,
        };
        self.write_journal(token, journal.with_term(token.era(), last_window)).await
    }

    async fn write_journal(&mut self, token: Token, journal: Journal) -> bool {
        let write = Write { journal: journal.clone(), revision: self.stored.revision, token };
        let result = with_timeout((self.duties.calls.write)(write)).await;
        self.shared.metrics.count_store_call("journal", result.is_ok());
        match result {
            Ok(revision) if self.eras.newest().unwrap_or(0) == token.era() => {
                self.stored = Entry { journal: Some(journal), revision };
                self.failed_writes = 0;
                true
            }
            result => {
                self.is_stale = true;
                self.failed_writes += 1;
                if self.failed_writes >= MAX_FAILED_WRITES && result == Err(Error::Refused(412)) {
                    self.duties.election.borrow_mut().resign(leader::Cause::LeaseEnded);
                }
                false
            }
        }
    }

    /// Fixes the report of a window in the journal; `None` if the write failed, or if the report is
    /// omitted because one may have been sent already or too few gateways have sent their counts.
    async fn fix_report(&mut self, window: Window) -> Option<Report> {
        let (report, reporting) = {
            let collector = self.duties.usage.borrow();
            let collector = collector.as_ref()?;
            (collector.report(window), collector.reporting_gateways(window))
        };
        let is_open = self.stored.journal.as_ref().is_some_and(|j| j.is_open(window));
        let live = self.shared.gateway.borrow().live_peers(clock::now()) + 1;
        if !is_open || reporting * 2 < live {
            self.omit(window, reporting);
            return None;
        }
        let token = self.duties.election.borrow().active_token(clock::now())?;
        let journal = self.stored.journal.clone()?.with_report(report.clone());
        if !self.write_journal(token, journal).await {
            return None;
        }
        let requests: u64 = report.counts.values().sum();
        let line = Line::new("usage_fixed").with("window", window).with("requests", requests);
        self.shared.log(line.with("gateways", reporting).with("token", self.token));
        Some(report)
    }

    fn omit(&mut self, window: Window, reporting: usize) {
        if window > self.last_omitted {
            self.last_omitted = window;
            self.shared.metrics.count("usage_windows_total", "outcome=\"left_out\"".to_owned());
            let line = Line::new("usage_left_out").with("window", window);
            self.shared.log(line.with("gateways", reporting).with("token", self.token));
        }
    }

    /// Sends a fixed report; `false` unless the platform has accepted it.
    async fn send_report(&mut self, report: Report) -> bool {
        let now = clock::now();
        let era = self.eras.newest().unwrap_or(0);
        let permit = self.duties.election.borrow_mut().begin_call(now, era);
        let Some(permit) = permit else {
            return false;
        };
        let window = report.window;
        let answer = (self.duties.calls.report)(report, permit).await;
        let outcome = *answer.as_ref().unwrap_or(&Outcome::Unanswered);
        let ended = clock::now();
        self.duties.election.borrow_mut().end_call(ended, &permit, outcome);
        self.duties.wakeup.notify_one();
        self.shared.metrics.count("usage_windows_total", format!("outcome=\"{outcome}\""));
        let line = Line::new("usage_reported").with("window", window).with("outcome", outcome);
        let line = line.with("token", permit.token);
        let line = line.with("took_ms", ended.since(now).as_millis());
        self.shared.log(match answer {
            Ok(_) => line,
            Err(e) => line.with("error", e),
        });
        if outcome == Outcome::Accepted {
            self.last_accepted = window;
        }
        outcome == Outcome::Accepted
    }
}
