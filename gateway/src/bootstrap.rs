//! Gets a starting gateway its first view of the store, from a seed or from the store itself.
//!
//! The steps are decided by [`laburnumwheel_core::gateway::bootstrap`].

use std::rc::Rc;
use std::time::Duration;

use laburnumwheel_core::gateway::bootstrap::Answer;
use laburnumwheel_core::gateway::bootstrap::Bootstrap;
use laburnumwheel_core::gateway::bootstrap::Scope;
use laburnumwheel_core::gateway::bootstrap::Seed;
use laburnumwheel_core::gateway::bootstrap::Step;
use laburnumwheel_core::gateway::directory::Entry;
use rand::Rng;

use crate::clock;
use crate::era::Eras;
use crate::log::Line;
use crate::peers;
use crate::shared::Shared;
use crate::store;
use crate::store::Error;
use crate::store::Follower;
use crate::store::LEASE;
use crate::store::RENEWAL_INTERVAL;
use crate::store::Reply;
use crate::view;

/// Renews a lease.
pub type Renew = Rc<dyn Fn(u64) -> Reply<()>>;

/// Calls of the store that concern seeds.
pub struct Calls {
    /// Lists the seeds of a failure domain, or of all.
    pub list: Box<dyn FnMut(Option<String>) -> Reply<Vec<Seed>>>,
    /// Registers the gateway as the seed of this slot under a new lease of this length, if the
    /// registration still has this revision; returns the id of the lease.
    pub register: Box<dyn FnMut(Entry, u32, u64, Duration) -> Reply<u64>>,
    /// Renews a lease.
    pub renew: Renew,
}

/// Returns once the gateway knows a configuration.
pub async fn run(shared: &Shared, entry: Entry, follower: &mut Follower, mut calls: Calls) {
    let seed = shared.rng.borrow_mut().random();
    let mut state = Bootstrap::new(clock::now(), entry.clone(), seed);
    while shared.gateway.borrow().version() == 0 {
        match state.next(clock::now()) {
            Step::Wait(pause) => tokio::time::sleep(clock::duration(pause)).await,
            Step::List(scope) => {
                let domain = (scope == Scope::Domain).then(|| entry.domain.clone());
                let result = store::with_timeout((calls.list)(domain)).await;
                shared.metrics.count_store_call("list_seeds", result.is_ok());
                state.record_list(result.ok());
            }
            Step::Fetch(seeds) => {
                if let Some(answer) = fetch(shared, &seeds).await {
                    state.record_answer(answer);
                }
            }
            Step::Register { slot, revision } => {
                let call = (calls.register)(entry.clone(), slot, revision, LEASE);
                let result = store::with_timeout(call).await;
                shared.metrics.count_store_call("register", result.is_ok());
                state.record_registration(result.is_ok());
                if let Ok(lease) = result {
                    shared.log(Line::new("registered").with("slot", slot).with("lease", lease));
                    let renew = Rc::clone(&calls.renew);
                    let eras = follower.eras.clone();
                    tokio::task::spawn_local(maintain(shared.clone(), eras, lease, renew));
                }
            }
            Step::Read => {
                // A failed read is logged there, and repeated.
                let _ = store::read_and_apply(shared, follower, state.is_registered()).await;
            }
        }
    }
    // Gateways announce themselves once they know a configuration, so the first view of a new fleet
    // lists none of them, and each would count as a reader.
    shared.gateway.borrow_mut().add_gateways(clock::now(), state.seeds());
}

/// Fetches the view from the first seed that has one. Returns `None` if that succeeded.
async fn fetch(shared: &Shared, seeds: &[String]) -> Option<Answer> {
    let mut answer = Answer::None;
    for seed in seeds {
        let Ok(address) = seed.parse() else {
            continue;
        };
        let Some(proof) = peers::request_proof(shared, address).await else {
            shared.metrics.count("seed_questions_total", "outcome=\"unanswered\"".to_owned());
            continue;
        };
        answer = Answer::NotReady;
        if proof.digest.config == 0 {
            shared.metrics.count("seed_questions_total", "outcome=\"not_ready\"".to_owned());
            continue;
        }
        match view::fetch(shared, seed).await {
            Ok((sent, snapshot)) => {
                shared.metrics.count("seed_questions_total", "outcome=\"fetched\"".to_owned());
                store::apply_from_peer(shared, sent, snapshot);
                return None;
            }
            Err(e) => {
                shared.metrics.count("seed_questions_total", "outcome=\"not_fetched\"".to_owned());
                let line = Line::new("view_not_fetched").with("reader", seed);
                shared.log(line.with("error", e));
            }
        }
    }
    Some(answer)
}

/// Renews a seed's lease until it has ended, the gateway stops, or its entry is under the same
/// lease. A registration that is lost is left to gateways that start later.
async fn maintain(shared: Shared, eras: Eras, lease: u64, renew: Renew) {
    shared.seed_lease.set(Some(lease));
    let mut watcher = eras.watch();
    loop {
        tokio::select! {
            // In another era the lease's id may belong to another gateway.
            _ = watcher.next() => break,
            () = tokio::time::sleep(store::jittered(&shared, RENEWAL_INTERVAL)) => {}
        }
        if shared.gateway.borrow().is_stopping() || shared.seed_lease.get().is_none() {
            return;
        }
        let result = store::with_timeout(renew(lease)).await;
        shared.metrics.count_store_call("renew_seed", result.is_ok());
        if result == Err(Error::NotFound) {
            break;
        }
    }
    shared.seed_lease.set(None);
}
