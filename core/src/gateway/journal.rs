//! Journal of the leaders in the store, in which reports are fixed before they are sent.

use serde::Deserialize;
use serde::Serialize;

use super::usage::MAX_REPORTS;
use super::usage::Report;
use super::usage::Window;

/// Upper bound on the encoded reports, in bytes; half of the largest value that the store accepts.
const MAX_BYTES: usize = 512 << 10;
/// Encoded size of a count without its name, in bytes.
const COUNT_BYTES: usize = 12;

/// State that a leader passes on to the next one through the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Era of the last term.
    pub era: u64,
    /// Usage reports that may have been sent, the oldest first.
    pub reports: Vec<Report>,
    /// Last window for which a report may have been sent.
    pub last_window: Window,
}

impl Journal {
    /// The report of a window, if it is fixed.
    pub fn report(&self, window: Window) -> Option<&Report> {
        self.reports.iter().find(|report| report.window == window)
    }

    /// Whether a report of this window may be fixed, as none can have been sent.
    pub fn is_open(&self, window: Window) -> bool {
        window > self.last_window
    }

    /// A copy of the journal with one more report; the oldest ones are removed beyond the limits.
    pub fn with_report(&self, report: Report) -> Journal {
        let mut journal = self.clone();
        journal.last_window = journal.last_window.max(report.window);
        journal.reports.push(report);
        journal.reports.sort_by_key(|report| report.window);
        let excess = journal.reports.len().saturating_sub(MAX_REPORTS);
        journal.reports.drain(..excess);
        while journal.reports.len() > 1 && journal.bytes() > MAX_BYTES {
            journal.reports.remove(0);
        }
        journal
    }

    /// Approximate size of the encoded reports, in bytes.
    fn bytes(&self) -> usize {
        let names = self.reports.iter().flat_map(|report| report.counts.keys());
        names.map(|name| name.len() + COUNT_BYTES).sum()
    }

    /// A copy of the journal for a term in `era`, in which no report of a window up to
    /// `last_window` may be fixed any more.
    pub fn with_term(&self, era: u64, last_window: Window) -> Journal {
        let mut journal = self.clone();
        journal.era = era;
        journal.last_window = journal.last_window.max(last_window);
        journal
    }
}
