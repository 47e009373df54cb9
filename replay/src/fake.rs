//! Fakes of a model engine and of a plain service in virtual time.

use std::collections::BTreeMap;

use laburnumwheel_core::event::AttemptId;
use laburnumwheel_core::event::Load;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

/// Prompt tokens of a request that an engine computes in one step.
const PREFILL_TOKENS_PER_STEP: u32 = 512;
/// Upper bound on the prefixes in an engine's cache; the least recently used one is evicted.
const MAX_CACHED_PREFIXES: usize = 48;
/// Divisor of the prompt tokens to compute when the prefix of the prompt is cached.
const CACHED_PREFIX_DIVISOR: u32 = 2;

/// Key of an attempt: the index of its router and its id there.
pub type AttemptKey = (usize, AttemptId);

/// Work of an engine for an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Index of its record in the trace.
    pub record: usize,
    /// Priority, 0 for the highest.
    pub priority: u8,
    /// Tokens in the prompt, including those that earlier attempts delivered.
    pub prompt: u32,
    /// Id of the shared prefix that the prompt begins with.
    pub prefix: u64,
    /// Number of tokens that earlier attempts delivered.
    pub offset: u32,
    /// Number of tokens in the complete answer.
    pub output: u32,
}

/// Job in an engine's batch.
#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    /// Remaining steps of prefill.
    prefill: u32,
    /// Index of the next token.
    next: u32,
}

/// Output of a step, for an attempt and the index of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The token of the answer with this index.
    Token(AttemptKey, usize, u32),
    /// The answer is complete.
    Done(AttemptKey, usize),
}

/// Model engine with continuous batching, a priority queue and a prefix cache.
#[derive(Debug)]
pub struct Engine {
    /// Upper bound on the attempts in the batch.
    pub slots: u32,
    /// Duration of a step.
    pub step: Span,
    /// Whether it crashed or exited; it then refuses connections.
    pub crashed: bool,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// Whether its next step is scheduled.
    pub stepping: bool,
    /// Number of generated tokens.
    pub generated: u64,
    running: BTreeMap<AttemptKey, Running>,
    waiting: BTreeMap<(u8, u64), (AttemptKey, Job)>,
    arrivals: u64,
    cache: Vec<u64>,
    added_prefixes: Vec<u64>,
}

impl Engine {
    /// Creates an idle engine.
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

    /// Whether an attempt is running or waiting.
    pub fn has_work(&self) -> bool {
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    /// Adds an attempt to the queue.
    pub fn submit(&mut self, id: AttemptKey, job: Job) {
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), (id, job));
    }

    /// Removes an attempt.
    pub fn cancel(&mut self, id: AttemptKey) {
        self.running.remove(&id);
        self.waiting.retain(|_, (t, _)| *t != id);
    }

    /// Crashes the engine and returns the attempts that were running or waiting.
    pub fn crash(&mut self) -> Vec<AttemptKey> {
        self.crashed = true;
        let running = std::mem::take(&mut self.running).into_keys();
        let waiting = std::mem::take(&mut self.waiting).into_values().map(|(t, _)| t);
        running.chain(waiting).collect()
    }

    /// Adds the prefix of a job to the cache and returns the number of steps for its prefill.
    fn prefill(&mut self, job: &Job) -> u32 {
        let cached = self.cache.contains(&job.prefix);
        self.cache.retain(|p| *p != job.prefix);
        self.cache.push(job.prefix);
        if !cached {
            self.added_prefixes.push(job.prefix);
        }
        if self.cache.len() > MAX_CACHED_PREFIXES {
            self.cache.remove(0);
        }
        let prompt = if cached { job.prompt / CACHED_PREFIX_DIVISOR } else { job.prompt };
        prompt / PREFILL_TOKENS_PER_STEP
    }

    /// Fills the batch from the queue and runs one step of it.
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

    /// Returns the current load report.
    pub fn load(&self) -> Load {
        let (running, waiting) = (self.running.len() as u32, self.waiting.len() as u32);
        Load { age: 0, running, waiting, slots: self.slots }
    }

    /// Returns the prefixes added to the cache since the last call.
    pub fn take_added_prefixes(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.added_prefixes)
    }
}

/// Plain service whose slots each run one call at a time.
#[derive(Debug)]
pub struct Service {
    /// Whether it crashed; it then refuses connections.
    pub crashed: bool,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// For each slot, the time at which it has run its last call.
    free_at: Vec<Time>,
    /// Duration of a call.
    work: Span,
    /// Number of calls that have not ended.
    open: u32,
}

impl Service {
    /// Creates an idle service.
    pub fn new(slots: u32, work: Span) -> Service {
        let free_at = vec![Time(0); slots as usize];
        Service { crashed: false, leaving: false, free_at, work, open: 0 }
    }

    /// Assigns a call to the slot that is free first and returns the time at which the call ends.
    pub fn run(&mut self, now: Time) -> Time {
        self.open += 1;
        let first_free = self.free_at.iter_mut().min();
        match first_free {
            Some(free) => {
                *free = (*free).max(now) + self.work;
                *free
            }
            None => now + self.work,
        }
    }

    /// Counts the end of a call.
    pub fn end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the current load report.
    pub fn load(&self) -> Load {
        let slots = self.free_at.len() as u32;
        let running = self.open.min(slots);
        Load { age: 0, running, waiting: self.open - running, slots }
    }
}
