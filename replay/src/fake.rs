//! Fakes of a model engine and a plain service, in virtual time.

use std::collections::BTreeMap;

use laburnumwheel_core::event::AttemptId;
use laburnumwheel_core::event::Load;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

/// Prompt tokens that one engine step computes.
const PREFILL: u32 = 512;
const CACHED_PREFIXES: usize = 48;
/// Part of a prompt that a cached prefix spares.
const SPARED: u32 = 2;

/// A try at an upstream: which router's, and its number there.
pub type AttemptKey = (usize, AttemptId);

/// What an upstream runs for a try.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Record of the trace.
    pub record: usize,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Tokens in the prompt, those of earlier attempts included.
    pub prompt: u32,
    /// Shared prefix.
    pub prefix: u64,
    /// Tokens that earlier attempts delivered.
    pub offset: u32,
    /// Tokens of the whole answer.
    pub output: u32,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    prefill: u32,
    next: u32,
}

/// What came of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Token `n` of the answer.
    Token(AttemptKey, usize, u32),
    /// The answer is whole.
    Done(AttemptKey, usize),
}

/// A model engine with continuous batching, a priority queue and a prefix cache.
#[derive(Debug)]
pub struct Engine {
    /// Largest batch.
    pub slots: u32,
    /// Time of a step.
    pub step: Span,
    /// Gone; answers nothing.
    pub crashed: bool,
    /// Refuses new work.
    pub leaving: bool,
    /// A step is under way.
    pub stepping: bool,
    /// Tokens generated.
    pub generated: u64,
    running: BTreeMap<AttemptKey, Running>,
    waiting: BTreeMap<(u8, u64), (AttemptKey, Job)>,
    arrivals: u64,
    cache: Vec<u64>,
    added_prefixes: Vec<u64>,
}

impl Engine {
    /// An idle engine.
    pub fn new(slots: u32, step: Span) -> Engine {
        Engine {
            slots,
            step,
            crashed: false,
            leaving: false,
            stepping: false,
            generated: 0,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            cache: Vec::new(),
            added_prefixes: Vec::new(),
        }
    }

    /// Whether a step would do anything.
    pub fn has_work(&self) -> bool {
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    /// Takes a try in.
    pub fn submit(&mut self, id: AttemptKey, job: Job) {
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), (id, job));
    }

    /// Drops a try.
    pub fn cancel(&mut self, id: AttemptKey) {
        self.running.remove(&id);
        self.waiting.retain(|_, (t, _)| *t != id);
    }

    /// Drops everything and returns the tries.
    pub fn crash(&mut self) -> Vec<AttemptKey> {
        self.crashed = true;
        let running = std::mem::take(&mut self.running).into_keys();
        let waiting = std::mem::take(&mut self.waiting).into_values().map(|(t, _)| t);
        running.chain(waiting).collect()
    }

    fn prefill(&mut self, job: &Job) -> u32 {
        let cached = self.cache.contains(&job.prefix);
        self.cache.retain(|p| *p != job.prefix);
        self.cache.push(job.prefix);
        if !cached {
            self.added_prefixes.push(job.prefix);
        }
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.remove(0);
        }
        let prompt = if cached { job.prompt / SPARED } else { job.prompt };
        prompt / PREFILL
    }

    /// One step of the batch.
    pub fn step(&mut self) -> Vec<Output> {
        while self.running.len() < self.slots as usize {
            let Some((_, (id, job))) = self.waiting.pop_first() else {
                break;
            };
            let prefill = self.prefill(&job);
            self.running.insert(id, Running { job, prefill, next: job.offset });
        }
        let mut out = Vec::new();
        for (id, r) in &mut self.running {
            if r.prefill > 0 {
                r.prefill -= 1;
                continue;
            }
            if r.next < r.job.output {
                out.push(Output::Token(*id, r.job.record, r.next));
                r.next += 1;
                self.generated += 1;
            }
            if r.next >= r.job.output {
                out.push(Output::Done(*id, r.job.record));
            }
        }
        for o in &out {
            if let Output::Done(id, _) = o {
                self.running.remove(id);
            }
        }
        out
    }

    /// The load report of this moment.
    pub fn load(&self) -> Load {
        let (running, waiting) = (self.running.len() as u32, self.waiting.len() as u32);
        Load { age: 0, running, waiting, slots: self.slots }
    }

    /// Prefixes that the cache added since the last call.
    pub fn take_added_prefixes(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.added_prefixes)
    }
}

/// A plain service: calls run one after another in each of its slots.
#[derive(Debug)]
pub struct Service {
    /// Gone; answers nothing.
    pub crashed: bool,
    /// Refuses new work.
    pub leaving: bool,
    free_at: Vec<Time>,
    work: Span,
    open: u32,
}

impl Service {
    /// An idle service.
    pub fn new(slots: u32, work: Span) -> Service {
        let free_at = vec![Time(0); slots as usize];
        Service { crashed: false, leaving: false, free_at, work, open: 0 }
    }

    /// Runs a call; returns when it ends.
    pub fn run(&mut self, now: Time) -> Time {
        self.open += 1;
        let first = self.free_at.iter_mut().min();
        match first {
            Some(free) => {
                *free = (*free).max(now) + self.work;
                *free
            }
            None => now + self.work,
        }
    }

    /// Notes that a call has ended.
    pub fn end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// The load report of this moment.
    pub fn load(&self) -> Load {
        let slots = self.free_at.len() as u32;
        let running = self.open.min(slots);
        Load { age: 0, running, waiting: self.open - running, slots }
    }
}
