//! Injection of faults into a simulation.

use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::Failure;
use laburnumwheel_core::time::Span;

use super::Fault;
use super::Item;
use super::Simulation;
use super::Upstream;
use crate::fake::AttemptKey;
use crate::network;

/// Delay with which the platform's host list marks a stopping upstream as leaving.
const HOST_LIST_LAG: Span = Span::secs(2);

impl Simulation<'_> {
    /// Injects a fault.
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Straggler { upstream, factor } => {
                if let Upstream::Engine(engine) = &mut self.upstreams[upstream] {
                    engine.step = Span(engine.step.0 * factor);
                }
            }
            Fault::Crash { upstream } => self.crash(upstream),
            Fault::Stop { upstream } => {
                match &mut self.upstreams[upstream] {
                    Upstream::Engine(e) => e.leaving = true,
                    Upstream::Service(s) => s.leaving = true,
                }
                self.network.schedule(HOST_LIST_LAG, Item::ListLeaving(upstream));
            }
            Fault::FreezeReports(length) => {
                self.frozen_reports = Some((self.network.now + length, self.loads()));
            }
            Fault::Silence { upstream } => {
                let affected = self.open_attempts.iter().filter(|(_, u)| **u == upstream);
                self.silent_attempts.extend(affected.map(|(id, _)| *id).collect::<Vec<_>>());
            }
            Fault::LoseRouter { router } => {
                self.network.kill(router);
                let affected: Vec<(AttemptKey, usize)> = self
                    .open_attempts
                    .iter()
                    .filter(|(id, _)| id.0 == router)
                    .map(|(id, u)| (*id, *u))
                    .collect();
                for (id, upstream) in affected {
                    self.open_attempts.remove(&id);
                    self.cancel_attempt(upstream, id);
                }
                self.break_connections(router);
            }
            Fault::StopRouter { router } => self.handle(router, Event::Stop),
            Fault::Outage(length) => {
                self.network.store.mode = network::Mode::Down;
                self.network.schedule(length, Item::EndOutage);
            }
        }
    }

    /// Crashes an upstream and breaks its open attempts.
    pub(super) fn crash(&mut self, upstream: usize) {
        match &mut self.upstreams[upstream] {
            Upstream::Engine(engine) => {
                engine.crash();
            }
            Upstream::Service(service) => service.crashed = true,
        }
        let affected = self.open_attempts.iter().filter(|(_, u)| **u == upstream);
        let affected: Vec<AttemptKey> = affected.map(|(id, _)| *id).collect();
        for id in affected {
            self.fail(upstream, id, Failure::Broken);
        }
    }
}
