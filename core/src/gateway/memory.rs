//! Memory of engines: the tokens that their calls hold and are expected to hold.
//!
//! Calls share an engine's memory with cached prompts, which yield. If calls alone need more than
//! the engine has, it preempts the newest of the least urgent and prefills its prompt again. The
//! owner of an engine sums up the [`Need`] of each call there: the parts of its prompt, of which
//! equal ones count once, and its expected answer. The expected length of an answer follows the
//! caller's hint, times the learnt ratio of answers to hints.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::submission;
use crate::incarnation::Digest;

/// Number of the highest ranks whose calls are counted apart from others.
pub const COUNTED_RANKS: usize = 3;
/// Share of an engine's memory that calls may be expected to hold. The rest covers errors of the
/// expected lengths, and calls of several gateways that ask the owner at the same time.
const MAX_FILL: f64 = 0.9;
/// Upper bound on the parts of a prompt that are stated apart; the last one sums up the others.
const MAX_PARTS: usize = 8;
/// Upper bound on the tokens of an answer.
const MAX_ANSWER_TOKENS: u32 = 1 << 20;
/// Expected tokens of an answer before any has ended, without a hint and a bound by the caller.
const PRIOR_TOKENS: f64 = 256.0;
/// Weight of the prior ratio of answers to hints, which is 1, in answers.
const PRIOR_WEIGHT: f64 = 3.0;
/// Weight that earlier answers keep when one more ends; about the last hundred count.
const DECAY: f64 = 0.99;
/// Upper bound on the ratio of an answer to its hint, and of a hint to its answer. One hint that is
/// off by more must not set the ratio for all others.
const MAX_HINT_RATIO: f64 = 5.0;
/// Ratio of the new expected length to the tokens of an answer that is longer than was expected. At
/// two, an answer that is longer by a hundred times is stated seven times.
const GROWTH: u32 = 2;

/// Length of a call's answer, as expected and as far as it has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Expected tokens; zero if the engine's memory is not limited.
    pub expected: u32,
    /// The caller's estimate of the tokens.
    pub hint: Option<u32>,
    /// Tokens that have come.
    pub tokens: u32,
    /// Tokens of one event.
    pub tokens_per_event: u32,
    /// Whether the attempt brings the whole answer as a stream, so that its length is a sample.
    pub is_whole: bool,
}

impl Answer {
    /// Counts events; returns whether the answer has become longer than expected, which is then
    /// corrected.
    pub fn record(&mut self, events: u64) -> bool {
        let events = events.min(u64::from(MAX_ANSWER_TOKENS)) as u32;
        let tokens = events.saturating_mul(self.tokens_per_event);
        self.tokens = self.tokens.saturating_add(tokens);
        let is_longer = self.expected > 0 && self.tokens > self.expected;
        if is_longer {
            self.expected = self.tokens.saturating_mul(GROWTH);
        }
        is_longer
    }
}

/// Lengths of the answers of one kind of calls, by which those of further calls are expected.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lengths {
    /// Decayed number of answers.
    answers: f64,
    /// Decayed sum of their tokens.
    tokens: f64,
    /// Decayed sum of the tokens of answers with a hint.
    hinted_tokens: f64,
    /// Decayed sum of these hints.
    hints: f64,
    /// Decayed number of answers with a hint.
    hinted: f64,
}

impl Lengths {
    /// Records an answer that has ended.
    pub fn record(&mut self, hint: Option<u32>, tokens: u32) {
        let sums = [&mut self.answers, &mut self.tokens, &mut self.hinted_tokens, &mut self.hints];
        sums.into_iter().chain([&mut self.hinted]).for_each(|sum| *sum *= DECAY);
        let tokens = f64::from(tokens.clamp(1, MAX_ANSWER_TOKENS));
        self.answers += 1.0;
        self.tokens += tokens;
        if let Some(hint) = usable(hint) {
            let hint = f64::from(hint).clamp(tokens / MAX_HINT_RATIO, tokens * MAX_HINT_RATIO);
            self.hinted += 1.0;
            self.hinted_tokens += tokens;
            self.hints += hint;
        }
    }

    /// Expected tokens of an answer with this hint, at most `max_tokens` unless that is zero.
    pub fn expected(&self, hint: Option<u32>, max_tokens: u32) -> u32 {
        let limit = if max_tokens == 0 { MAX_ANSWER_TOKENS } else { max_tokens };
        let limit = limit.min(MAX_ANSWER_TOKENS);
        let expected = match usable(hint) {
            Some(hint) => f64::from(hint.min(limit)) * self.ratio(),
            None if self.answers > 0.0 => self.tokens / self.answers,
            None if max_tokens > 0 => f64::from(limit),
            None => PRIOR_TOKENS,
        };
        (expected.ceil() as u32).clamp(1, limit)
    }

    /// Ratio of answers to their hints.
    fn ratio(&self) -> f64 {
        let prior = match self.hinted > 0.0 {
            true => PRIOR_WEIGHT * self.hints / self.hinted,
            false => 1.0,
        };
        let ratio = (self.hinted_tokens + prior) / (self.hints + prior);
        ratio.clamp(1.0 / MAX_HINT_RATIO, MAX_HINT_RATIO)
    }
}

/// The hint of an answer; `None` for zero, which no ratio of answers to hints corrects.
fn usable(hint: Option<u32>) -> Option<u32> {
    hint.filter(|hint| *hint > 0)
}

/// Tokens that a call needs at its engine, as its gateway states them to the engine's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Incarnation of the engine.
    pub engine: Digest,
    /// The call, as in [`Update`](super::occupancy::Update).
    pub call: u64,
    /// Parts of the prompt with their tokens; empty if they were stated before.
    pub parts: Vec<(u32, u32)>,
    /// Expected tokens of the answer.
    pub answer_tokens: u32,
}

/// Parts of a prompt as they are stated to owners, with short ids.
pub fn short_parts(parts: &[submission::Part]) -> Vec<(u32, u32)> {
    let short = |part: &submission::Part| ((part.id ^ (part.id >> 32)) as u32, part.tokens);
    let (first, last) = parts.split_at(parts.len().min(MAX_PARTS - 1));
    let mut parts: Vec<(u32, u32)> = first.iter().map(short).collect();
    if let Some((id, _)) = last.last().map(short) {
        let tokens = last.iter().fold(0, |sum: u32, part| sum.saturating_add(part.tokens));
        parts.push((id, tokens));
    }
    parts
}

/// Tokens that a call holds at an engine, by what its gateway stated.
#[derive(Clone, Debug, Default)]
pub(super) struct Holding {
    parts: Vec<(u32, u32)>,
    answer_tokens: u32,
}

impl Holding {
    /// Records what the call's gateway states.
    pub(super) fn record(&mut self, need: &Need) {
        if !need.parts.is_empty() {
            self.parts = need.parts.iter().take(MAX_PARTS).copied().collect();
        }
        self.answer_tokens = need.answer_tokens.min(MAX_ANSWER_TOKENS);
    }
}

/// Tokens that the calls at an engine hold and are expected to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Tokens of the calls of each of the highest ranks and of those above it, and then of all.
    pub up_to_rank: [u32; COUNTED_RANKS + 1],
    /// Calls that hold them.
    pub calls: u16,
    /// Tokens of the prompt that the snapshot was asked for which calls at the engine hold.
    pub shared: u32,
}

impl Held {
    /// Sums up the calls of an engine, each with its rank, and `copied` tokens of runs elsewhere.
    /// `prompt` is the prompt that the snapshot is asked for.
    pub(super) fn of<'a>(
        calls: impl Iterator<Item = (u8, &'a Holding)>,
        copied: u32,
        prompt: &[submission::Part],
    ) -> Held {
        let mut calls: Vec<(u8, &Holding)> = calls.collect();
        calls.sort_by_key(|(rank, _)| *rank);
        let mut parts: BTreeMap<u32, u32> = BTreeMap::new();
        let mut held = Held { up_to_rank: [copied; COUNTED_RANKS + 1], ..Held::default() };
        held.calls = calls.len().min(usize::from(u16::MAX)) as u16;
        for (rank, holding) in calls {
            let mut tokens = holding.answer_tokens;
            for (id, part_tokens) in &holding.parts {
                let known = parts.entry(*id).or_default();
                tokens = tokens.saturating_add(part_tokens.saturating_sub(*known));
                *known = (*known).max(*part_tokens);
            }
            for sum in &mut held.up_to_rank[usize::from(rank).min(COUNTED_RANKS)..] {
                *sum = sum.saturating_add(tokens);
            }
        }
        for (id, tokens) in short_parts(prompt) {
            let known = parts.get(&id).copied().unwrap_or(0).min(tokens);
            held.shared = held.shared.saturating_add(known);
        }
        held
    }

    /// Tokens of all calls.
    pub fn all(&self) -> u64 {
        u64::from(self.up_to_rank[COUNTED_RANKS])
    }

    /// Mean tokens of a call.
    pub fn mean(&self) -> u64 {
        self.all() / u64::from(self.calls.max(1))
    }
}

/// Room of an engine for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// The engine can hold the call besides all others.
    Free,
    /// The engine can hold the call if it preempts less urgent calls that hold this many tokens.
    Preempting(u64),
    /// The engine can't hold the call besides those of its rank and above.
    Missing,
}

/// Bound on an engine's memory for a call, and the call's expected answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bound {
    /// Tokens that the engine's calls may hold.
    pub max_tokens: u64,
    /// Answer of the call.
    pub answer: Answer,
}

impl Bound {
    /// The bound for an engine of `kv_tokens`. If the call can't be refused any more, as it may have
    /// run, it may use all of the memory.
    pub fn new(kv_tokens: u64, may_refuse: bool, answer: Answer) -> Bound {
        let fill = if may_refuse { MAX_FILL } else { 1.0 };
        Bound { max_tokens: (kv_tokens as f64 * fill) as u64, answer }
    }

    /// Room of an engine for a call of `rank` that adds `prompt_tokens` to what its calls hold. Calls
    /// of the lowest rank preempt no others.
    pub fn room(&self, rank: u8, is_lowest: bool, prompt_tokens: u64, held: &Held) -> Room {
        let need = prompt_tokens + u64::from(self.answer.expected);
        let all = held.all() + need;
        // A call that is larger than the bound has no better place than an engine without calls.
        if all <= self.max_tokens || held.calls == 0 {
            return Room::Free;
        }
        let rank = if is_lowest { COUNTED_RANKS } else { usize::from(rank).min(COUNTED_RANKS) };
        match u64::from(held.up_to_rank[rank]) + need <= self.max_tokens {
            true => Room::Preempting(all - self.max_tokens),
            false => Room::Missing,
        }
    }
}
