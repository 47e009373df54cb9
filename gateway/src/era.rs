//! Which life of the store answers. Each return of the store to an older copy begins a new era.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use derive_more::Display;
use tokio::sync::watch;

use crate::clock;
use crate::log::Line;
use crate::shared::Shared;
use crate::store::Error;

/// What is odd about the era that an answer states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Oddity {
    /// It states none.
    Missing,
    /// It is no number.
    Unreadable,
    /// It is of a former life.
    Earlier,
}

#[derive(Debug)]
struct Inner {
    newest: watch::Sender<Option<u64>>,
    last_oddity: Cell<Option<Oddity>>,
    unlogged: RefCell<Vec<Oddity>>,
}

/// The newest era that any answer has stated; shared by all connections to the store.
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
    /// The newest era; `None` if none was stated yet.
    pub fn newest(&self) -> Option<u64> {
        *self.0.newest.borrow()
    }

    /// Takes in what an answer states of its era.
    ///
    /// # Errors
    ///
    /// [`Error::Outdated`] for an answer of a former life, which says nothing of this one.
    pub fn observe(&self, stated: Option<&[u8]>) -> Result<(), Error> {
        let read = |bytes| std::str::from_utf8(bytes).ok()?.trim().parse::<u64>().ok();
        let oddity = match (stated, stated.and_then(read)) {
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
        // Logged once, not with each answer.
        if oddity != self.0.last_oddity.replace(oddity) {
            self.0.unlogged.borrow_mut().extend(oddity);
        }
        if oddity == Some(Oddity::Earlier) { Err(Error::Outdated) } else { Ok(()) }
    }

    /// Waits for a rise from one era to a later one.
    pub fn watch(&self) -> Watcher {
        Watcher { seen: self.newest(), newest: self.0.newest.subscribe() }
    }

    /// What is odd and has not been logged.
    fn take_unlogged(&self) -> Vec<Oddity> {
        std::mem::take(&mut self.0.unlogged.borrow_mut())
    }
}

/// The rises that come from now on.
#[derive(Debug)]
pub struct Watcher {
    /// The era returned last. A rise may come while nobody waits for one.
    seen: Option<u64>,
    newest: watch::Receiver<Option<u64>>,
}

impl Watcher {
    /// The next rise, as the eras before and after it; the first era that is stated is none.
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
                // Nobody is left to tell of eras.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Takes each return of the store in and logs it, for ever.
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

/// Logs what is odd about the eras of answers.
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
