//! Tracks the era of the store, which its responses state.
//!
//! Each return of the store to an older copy begins a new era. A response of an earlier era says
//! nothing about the present state, so it is an error. A missing or unreadable era counts as the
//! newest one.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use derive_more::Display;
use tokio::sync::watch;

use crate::clock;
use crate::log::Line;
use crate::shared::Shared;
use crate::store::Error;

/// Irregular statement of the era in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Oddity {
    /// The response states no era.
    Missing,
    /// The stated era is not a number.
    Unreadable,
    /// The stated era is earlier than the newest one.
    Earlier,
}

#[derive(Debug)]
struct Inner {
    newest: watch::Sender<Option<u64>>,
    last_oddity: Cell<Option<Oddity>>,
    unlogged: RefCell<Vec<Oddity>>,
}

/// Newest era that any response has stated, shared by all connections to the store.
#[derive(Clone, Debug)]
pub struct Eras(Rc<Inner>);

impl Default for Eras {
    fn default() -> Eras {
        Eras(Rc::new(Inner {
            newest: watch::Sender::new(None),
            last_oddity: Cell::new(None),
            unlogged: RefCell::default(),
        }))
    }
}

impl Eras {
    /// Returns the newest era; `None` if none has been stated yet.
    pub fn newest(&self) -> Option<u64> {
        *self.0.newest.borrow()
    }

    /// Records the era that a response states.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Outdated`] for a response of an earlier era.
    pub fn observe(&self, stated: Option<&[u8]>) -> Result<(), Error> {
        let parse = |bytes| std::str::from_utf8(bytes).ok()?.trim().parse::<u64>().ok();
        let oddity = match (stated, stated.and_then(parse)) {
            (None, _) => Some(Oddity::Missing),
            (Some(_), None) => Some(Oddity::Unreadable),
            (Some(_), Some(era)) if self.newest().is_some_and(|newest| era < newest) => {
                Some(Oddity::Earlier)
            }
            (Some(_), Some(era)) => {
                self.0.newest.send_if_modified(|newest| newest.replace(era) != Some(era));
                None
            }
        };
        // Logged when it changes, not for each response.
        if oddity != self.0.last_oddity.replace(oddity) {
            self.0.unlogged.borrow_mut().extend(oddity);
        }
        if oddity == Some(Oddity::Earlier) { Err(Error::Outdated) } else { Ok(()) }
    }

    /// Returns a watcher that waits for the next change to a later era.
    pub fn watch(&self) -> Watcher {
        Watcher { seen: self.newest(), newest: self.0.newest.subscribe() }
    }

    /// Takes the irregularities that have not been logged.
    fn take_unlogged(&self) -> Vec<Oddity> {
        std::mem::take(&mut self.0.unlogged.borrow_mut())
    }
}

/// Waits for changes to a later era.
#[derive(Debug)]
pub struct Watcher {
    /// Era that the last call of `next` saw; it may change before the next call.
    seen: Option<u64>,
    newest: watch::Receiver<Option<u64>>,
}

impl Watcher {
    /// Waits for the next change and returns the eras before and after it. The first era that is
    /// stated does not count as a change.
    pub async fn next(&mut self) -> (u64, u64) {
        loop {
            let newest = *self.newest.borrow_and_update();
            let before = std::mem::replace(&mut self.seen, newest);
            if let (Some(before), Some(after)) = (before, newest)
                && before < after
            {
                return (before, after);
            }
            if self.newest.changed().await.is_err() {
                // The sender is gone, so there will be no further change.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Passes each return of the store to the gateway and logs it, forever.
pub async fn follow(shared: Shared, eras: Eras) {
    let mut watcher = eras.watch();
    loop {
        let (before, after) = watcher.next().await;
        let now = clock::now();
        let mut gateway = shared.gateway.borrow_mut();
        gateway.record_rollback(now);
        let line = Line::new("store_returned")
            .with("era", after)
            .with("before", before)
            .with("version", gateway.version())
            .with("proof_age_ms", gateway.proof_age(now).map_or(-1, |a| a.as_millis() as i64))
            .with("replicas", gateway.fleet().iter().filter(|r| !r.closed).count());
        drop(gateway);
        shared.metrics.count("store_returns_total", String::new());
        shared.log(line);
    }
}

/// Logs and counts new irregularities in the eras that responses state.
pub fn log_oddities(shared: &Shared, eras: &Eras) {
    for oddity in eras.take_unlogged() {
        shared.metrics.count("store_era_oddities_total", format!("kind=\"{oddity}\""));
        shared.log(
            Line::new("store_era_odd")
                .with("kind", oddity)
                .with("newest", eras.newest().unwrap_or(0)),
        );
    }
}
