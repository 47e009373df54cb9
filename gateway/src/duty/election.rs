//! Runs the election loop of a gateway: campaigns, renewals of the lease and resignations.

use laburnumwheel_core::gateway::directory;
use laburnumwheel_core::gateway::leader;
use laburnumwheel_core::gateway::leader::Identity;
use laburnumwheel_core::gateway::leader::Lease;
use laburnumwheel_core::gateway::leader::Step;

use super::Entry;
use super::State;
use super::term;
use crate::clock;
use crate::era::Eras;
use crate::log::Line;
use crate::shared::Shared;
use crate::store::Error;
use crate::store::with_timeout;

/// Carries out the steps of the election and never returns if there are duties.
pub async fn run_election(shared: Shared, eras: Eras) {
    let Some(duties) = &shared.duties else {
        return;
    };
    loop {
        let now = clock::now();
        let era = eras.newest().unwrap_or(0);
        if duties.first_era.get().is_none() {
            duties.first_era.set(eras.newest());
        }
        let rank = shared.gateway.borrow().reader_rank(now);
        let step = duties.election.borrow_mut().step(now, era, rank);
        log_ended(&shared, duties);
        match step {
            Step::Wait(span) => {
                tokio::select! {
                    () = tokio::time::sleep(clock::duration(span)) => {}
                    () = duties.wakeup.notified() => {}
                }
            }
            Step::Campaign => campaign(&shared, duties, &eras).await,
            Step::Renew(lease) => renew(&shared, duties, &eras, lease).await,
            Step::Release(lease) => {
                let result = with_timeout((duties.calls.release)(lease)).await;
                shared.metrics.count_store_call("release", result.is_ok());
                duties.election.borrow_mut().record_release(clock::now());
            }
        }
    }
}

fn log_ended(shared: &Shared, duties: &State) {
    let causes = duties.election.borrow_mut().take_ended();
    for (token, cause) in causes {
        shared.metrics.count("terms_ended_total", format!("cause=\"{cause}\""));
        shared.log(Line::new("term_ended").with("token", token).with("cause", cause));
    }
}

async fn campaign(shared: &Shared, duties: &State, eras: &Eras) {
    duties.election.borrow_mut().start_campaign();
    let sent = clock::now();
    let acquired =
        with_timeout((duties.calls.acquire)(duties.options.election.lease_duration)).await;
    shared.metrics.count_store_call("acquire", acquired.is_ok());
    let acquired = match acquired {
        Ok(acquired) => acquired,
        Err(e) => {
            shared.log(Line::new("campaign_lost").with("error", e));
            duties.election.borrow_mut().fail_campaign();
            return;
        }
    };
    let stored = with_timeout((duties.calls.read)()).await;
    shared.metrics.count_store_call("journal", stored.is_ok());
    let stored = match stored {
        Ok(stored) if eras.newest().unwrap_or(0) == acquired.position.era => stored,
        other => {
            // No term has begun under the lease, so it may expire by itself.
            let error = other.err().map_or_else(|| "rollback".to_owned(), |e| e.to_string());
            shared.log(Line::new("campaign_lost").with("error", error));
            duties.election.borrow_mut().fail_campaign();
            return;
        }
    };
    let lease = Lease {
        sent,
        id: acquired.lease,
        ttl: acquired.ttl,
        position: acquired.position,
        last_era: last_era(duties, &stored, acquired.position.era),
    };
    let now = clock::now();
    if !duties.election.borrow_mut().begin_term(now, &lease) {
        shared.log(Line::new("campaign_lost").with("error", "position out of range"));
        return;
    }
    let token = duties.token();
    let gateway = directory::short_hash(shared.gateway.borrow().name());
    duties.observe_leader(Identity { token, gateway });
    shared.metrics.count("terms_total", String::new());
    let line = Line::new("term_began").with("token", token).with("lease", acquired.lease);
    shared.log(line.with("position", acquired.position));
    tokio::task::spawn_local(term::run_term(shared.clone(), eras.clone(), token, stored));
}

/// Era of the previous term; `None` if it is unknown. At the first start of the whole system there
/// was no previous term, and the current era is returned, so that the new leader does not wait.
fn last_era(duties: &State, stored: &Entry, era: u64) -> Option<u64> {
    match &stored.journal {
        Some(journal) => Some(journal.era),
        // In a later era the store may have been restored from a copy without the journal.
        None if duties.options.is_first_start && duties.first_era.get() == Some(era) => Some(era),
        None => None,
    }
}

async fn renew(shared: &Shared, duties: &State, eras: &Eras, lease: u64) {
    let sent = clock::now();
    let result = with_timeout((duties.calls.renew)(lease)).await;
    shared.metrics.count_store_call("renew_leader", result.is_ok());
    let (now, era) = (clock::now(), eras.newest().unwrap_or(0));
    let mut election = duties.election.borrow_mut();
    match result {
        Ok(()) => election.extend_term(now, sent, era),
        Err(Error::NotFound) => election.end_term(now, leader::Cause::LeaseEnded),
        Err(_) => election.record_renewal_failure(now),
    }
}
