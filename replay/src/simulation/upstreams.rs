//! Upstreams of a simulation: arrival and execution of attempts, load reports.

use bytes::Bytes;
use laburnumwheel_core::action::Dispatch;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::Failure;
use laburnumwheel_core::event::Load;
use laburnumwheel_core::time::Span;
use rand::Rng;

use super::Item;
use super::Policy;
use super::REPORT_INTERVAL;
use super::Simulation;
use super::Upstream;
use crate::fake::AttemptKey;
use crate::fake::Job;
use crate::fake::Output;

/// Mean interval between lost cache events, in events.
const CACHE_LOSS_INTERVAL: u32 = 20;
/// Time until a router learns that its connection was refused.
const CONNECTION_REFUSED_DELAY: Span = Span::millis(1);

impl Simulation<'_> {
    /// Ends an attempt with a failure.
    pub(super) fn fail(&mut self, upstream: usize, id: AttemptKey, failure: Failure) {
        self.open_attempts.remove(&id);
        let delay = self.delay(id.0, upstream);
        self.network.schedule_event(delay, id.0, Event::Failed(id.1, failure));
    }

    /// Starts an attempt that arrived at its upstream, or fails it.
    pub(super) fn arrive(&mut self, router: usize, upstream: usize, dispatch: Dispatch) {
        let id = (router, dispatch.attempt);
        if !self.open_attempts.contains_key(&id) {
            return;
        }
        let word = dispatch.body.get(..8).and_then(|b| b.try_into().ok()).map(u64::from_le_bytes);
        let record = word.unwrap_or(0) as usize;
        let r = self.trace[record];
        let now = self.network.now;
        let (crashed, leaving) = match &self.upstreams[upstream] {
            Upstream::Engine(e) => (e.crashed, e.leaving),
            Upstream::Service(s) => (s.crashed, s.leaving),
        };
        if crashed {
            self.network.schedule_event(
                CONNECTION_REFUSED_DELAY,
                router,
                Event::Failed(id.1, Failure::Connect),
            );
            return;
        }
        if leaving {
            self.fail(upstream, id, Failure::Leaving);
            return;
        }
        *self.executions.entry(record).or_default() += 1;
        match &mut self.upstreams[upstream] {
            Upstream::Engine(engine) => {
                let job = Job {
                    record,
                    priority: dispatch.priority,
                    prompt: r.prompt + dispatch.offset,
                    prefix: r.prefix,
                    offset: dispatch.offset,
                    output: r.output,
                };
                engine.submit(id, job);
                let step = engine.step;
                // After a cancellation an engine can be empty with its next step still scheduled.
                // A second chain of steps would make it twice as fast.
                if !std::mem::replace(&mut engine.stepping, true) {
                    self.network.schedule(step, Item::Step(upstream));
                }
            }
            Upstream::Service(service) => {
                let ends = service.run(now);
                let once = self.site.class[r.class].once;
                self.broken.doubled += u64::from(once && self.executions[&record] > 1);
                self.network.schedule(ends.since(now), Item::Complete(upstream, id, record));
            }
        }
    }

    /// Cancels an attempt at an engine; services complete their calls.
    pub(super) fn cancel_attempt(&mut self, upstream: usize, id: AttemptKey) {
        if let Upstream::Engine(engine) = &mut self.upstreams[upstream] {
            engine.cancel(id);
        }
    }

    /// Runs a step of an engine. A leaving engine exits when it has no more work.
    pub(super) fn step(&mut self, upstream: usize) {
        let Upstream::Engine(engine) = &mut self.upstreams[upstream] else {
            return;
        };
        if engine.crashed {
            return;
        }
        let outputs = engine.step();
        let (busy, leaving, step) = (engine.has_work(), engine.leaving, engine.step);
        engine.stepping = busy;
        if busy {
            self.network.schedule(step, Item::Step(upstream));
        } else if leaving && let Upstream::Engine(engine) = &mut self.upstreams[upstream] {
            engine.crashed = true;
        }
        for output in outputs {
            self.output(upstream, output);
        }
    }

    /// Sends an engine's output to the router, unless the connection is silent.
    pub(super) fn output(&mut self, upstream: usize, output: Output) {
        let (Output::Token(id, ..) | Output::Done(id, _)) = output;
        if self.silent_attempts.contains(&id) {
            return;
        }
        let (router, attempt) = id;
        let delay = self.delay(router, upstream);
        let event = match output {
            Output::Token(_, record, n) => {
                let record = record as u32;
                let text = [record.to_le_bytes(), n.to_le_bytes()].concat();
                let text = Bytes::from(text);
                Event::Frame { attempt, echo: attempt, offset: n, tokens: 1, text }
            }
            Output::Done(..) => {
                self.open_attempts.remove(&id);
                Event::Ended { attempt, echo: attempt, status: 200 }
            }
        };
        self.network.schedule_event(delay, router, event);
    }

    /// Completes a call at a service.
    pub(super) fn complete(&mut self, upstream: usize, id: AttemptKey, _record: usize) {
        if let Upstream::Service(service) = &mut self.upstreams[upstream] {
            service.end();
            if service.crashed {
                return;
            }
        }
        self.open_attempts.remove(&id);
        if !self.silent_attempts.contains(&id) {
            let delay = self.delay(id.0, upstream);
            let (router, attempt) = id;
            let event = Event::Ended { attempt, echo: attempt, status: 200 };
            self.network.schedule_event(delay, router, event);
        }
    }

    /// Returns the current loads of all upstreams.
    pub(super) fn loads(&self) -> Vec<Load> {
        let load = |u: &Upstream| match u {
            Upstream::Engine(e) => e.load(),
            Upstream::Service(s) => s.load(),
        };
        self.upstreams.iter().map(load).collect()
    }

    /// Sends load reports and cache events of all running upstreams to all routers.
    ///
    /// Baselines get none.
    pub(super) fn report(&mut self) {
        self.network.schedule(REPORT_INTERVAL, Item::Report);
        if self.policy != Policy::Core {
            return;
        }
        let lag = Span(self.site.report_lag_us);
        let frozen = self.frozen_reports.as_ref().filter(|(until, _)| self.network.now < *until);
        let loads = frozen.map_or_else(|| self.loads(), |(_, loads)| loads.clone());
        for (i, load) in loads.into_iter().enumerate() {
            let (crashed, added) = match &mut self.upstreams[i] {
                Upstream::Engine(e) => (e.crashed, e.take_added_prefixes()),
                Upstream::Service(s) => (s.crashed, Vec::new()),
            };
            if crashed {
                continue;
            }
            self.cache_sequence[i] += 1;
            let lost = self.rng.random_range(0..CACHE_LOSS_INTERVAL) == 0;
            for router in 0..self.network.len() {
                let load = Load { age: lag.0, ..load };
                self.network.schedule_event(
                    lag,
                    router,
                    Event::Load(self.upstream_names[i].clone(), load),
                );
                if lost {
                    continue;
                }
                let cache = Event::Cache {
                    upstream: self.upstream_names[i].clone(),
                    sequence: self.cache_sequence[i],
                    added: added.clone(),
                    evicted: Vec::new(),
                };
                self.network.schedule_event(lag, router, cache);
            }
        }
    }
}
