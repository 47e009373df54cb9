//! Hundreds of gateways in virtual time: what they agree on, how long they differ, and what that costs.
//!
//! Heartbeats and reports are delivered at once, one in a hundred is lost. Calls are those of an
//! auction house: chats that last two seconds, and reports whose gaps are now and then longer than a
//! chat may pause.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::Settings;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::plan::Plan;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::START;
use crate::support::config;
use crate::support::entry;
use crate::support::listings;
use crate::support::settings;
use crate::support::submission;

/// Time between two looks at all gateways.
const STEP: Span = Span::millis(50);
/// Time from one heartbeat to the next, and peers that get it, as the shell has them.
const HEARTBEAT: Span = Span::millis(250);
const FANOUT: usize = 4;
/// Longest that gateways may go by different plans after a change: a burst lasts a few seconds, and
/// most of it must find the fleet of one mind.
const LONGEST: Span = Span::secs(2);
/// Calls of each kind a second and gateway.
const CHATS: f64 = 0.3;
const REPORTS: f64 = 2.0;

struct Call {
    at: usize,
    chat: bool,
    grant: Grant,
    pick: Pick,
    began: Time,
    events: u32,
}

struct World {
    now: Time,
    rng: SmallRng,
    gateways: Vec<Gateway>,
    entries: Vec<Entry>,
    by_address: BTreeMap<String, usize>,
    cut: BTreeSet<usize>,
    next_report: Vec<Time>,
    calls: Vec<Call>,
    chats: f64,
    engines: usize,
    sent_bytes: usize,
    number: u64,
}

fn name(i: usize) -> String {
    format!("front-{i}")
}

/// One in twenty is four times as large as the others.
fn entry_of(i: usize) -> Entry {
    let weight = if i.is_multiple_of(20) { 500 } else { 120 };
    Entry { weight, ..entry(&name(i)) }
}

impl World {
    fn new(gateways: usize, engines: usize, seed: u64) -> World {
        let entries: Vec<Entry> = (0..gateways).map(entry_of).collect();
        let by_address = entries.iter().enumerate().map(|(i, e)| (e.peer_address.clone(), i));
        let mut world = World {
            now: START,
            rng: SmallRng::seed_from_u64(seed),
            gateways: Vec::new(),
            by_address: by_address.collect(),
            cut: BTreeSet::new(),
            next_report: vec![START; gateways],
            calls: Vec::new(),
            chats: CHATS,
            engines,
            sent_bytes: 0,
            number: 0,
            entries,
        };
        world.restart();
        world
    }

    /// All gateways begin with nothing.
    fn restart(&mut self) {
        self.calls.clear();
        let own = |i: usize| Settings { entry: entry_of(i), seed: i as u64, ..settings("x") };
        self.gateways = (0..self.entries.len()).map(|i| Gateway::new(own(i), self.now)).collect();
        self.read_store();
    }

    fn read_store(&mut self) {
        let config = Arc::new(config(1));
        for gateway in &mut self.gateways {
            gateway.record_read(self.now, Some(Arc::clone(&config)));
            gateway.update_lists(self.now, self.now, listings(self.engines), self.entries.clone());
        }
    }

    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let parted = self.cut.contains(&from) != self.cut.contains(&to);
        !parted && !self.rng.random_bool(0.01)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        if self.now.0.is_multiple_of(Span::secs(1).0) {
            self.read_store();
        }
        self.serve();
        let beats = HEARTBEAT.0 / STEP.0;
        let phase = (self.now.0 / STEP.0) % beats;
        for i in (0..self.gateways.len()).filter(|i| *i as u64 % beats == phase) {
            self.beat(i);
        }
        for i in 0..self.gateways.len() {
            self.report(i);
        }
    }

    fn beat(&mut self, from: usize) {
        let heartbeat = self.gateways[from].heartbeat(self.now);
        let bytes = postcard::to_stdvec(&heartbeat).unwrap().len();
        for _ in 0..FANOUT {
            let to = self.rng.random_range(0..self.gateways.len());
            self.sent_bytes += bytes;
            if to != from && self.arrives(from, to) {
                self.gateways[to].receive(self.now, &heartbeat);
            }
        }
    }

    fn report(&mut self, from: usize) {
        if self.now < self.next_report[from] {
            return;
        }
        let period = self.gateways[from].reporting_period().0;
        self.next_report[from] =
            self.now + Span(self.rng.random_range(period * 9..period * 11) / 10);
        if let Some((decider, report)) = self.gateways[from].next_report(self.now) {
            self.sent_bytes += postcard::to_stdvec(&report).unwrap().len();
            let to = self.by_address[&decider];
            if self.arrives(from, to) {
                self.gateways[to].receive_report(self.now, &report);
            }
        }
    }

    fn serve(&mut self) {
        self.go_on();
        let gateways = self.gateways.len() as f64 * STEP.as_secs_f64();
        for (chat, rate) in [(true, self.chats), (false, REPORTS)] {
            let expected = rate * gateways;
            let more = self.rng.random_bool(expected.fract());
            (0..expected as usize + usize::from(more)).for_each(|_| self.begin(chat));
        }
    }

    fn begin(&mut self, chat: bool) {
        self.number += 1;
        let at = self.rng.random_range(0..self.gateways.len());
        let gateway = &mut self.gateways[at];
        let route = if chat { "chat" } else { "report" };
        let call = submission(route, &[(self.number % 40, 600), (1_000 + self.number, 500)]);
        let Ok(mut grant) = gateway.admit(self.now, &call) else {
            return;
        };
        if let Ok(mut pick) = gateway.pick(self.now, &call, &mut grant, &[]) {
            gateway.record_sent(self.now, &call, &mut grant, &mut pick);
            self.calls.push(Call { at, chat, grant, pick, began: self.now, events: 0 });
        }
    }

    /// A chat has an event every 50 ms for two seconds, a report seven, each fiftieth 400 ms later.
    fn go_on(&mut self) {
        let now = self.now;
        let mut open = std::mem::take(&mut self.calls);
        for call in &mut open {
            let late = !call.chat && now.since(call.began) < Span::millis(400);
            if late && call.grant.arrived.0 % 50 == 0 && call.events == 3 {
                continue;
            }
            call.events += 1;
            self.gateways[call.at].record_event(now, &mut call.pick.claim);
        }
        open.retain(|call| {
            let ends = call.events >= if call.chat { 40 } else { 7 };
            if ends {
                self.gateways[call.at].record_end(now, call.pick.claim, Outcome::Answered);
            }
            !ends
        });
        self.calls = open;
    }

    fn plans(&self) -> Vec<Option<&Plan>> {
        self.gateways.iter().map(|g| g.plan("engines")).collect()
    }

    /// Share of gateways that do not go by the newest plan, and by how many engines most differ.
    fn disagreement(&self) -> (f64, usize) {
        let plans = self.plans();
        let Some(newest) = plans.iter().flatten().max_by_key(|p| (p.epoch, p.by)) else {
            return (0.0, 0);
        };
        let same = plans.iter().filter(|p| p.is_some_and(|p| p.epoch == newest.epoch)).count();
        let lanes = plans.iter().map(|p| p.map_or(0, |p| usize::from(p.pool_size)));
        let most = lanes.map(|lane| lane.abs_diff(usize::from(newest.pool_size))).max();
        (1.0 - same as f64 / plans.len() as f64, most.unwrap_or(0))
    }

    /// Plays for `time`; returns the share of looks at which one in twenty gateways or more went by
    /// another plan, and the longest such time.
    fn play(&mut self, time: Span) -> (f64, Span) {
        let end = self.now + time;
        let (mut looks, mut apart, mut longest, mut since) = (0, 0, Span(0), self.now);
        while self.now < end {
            self.step();
            looks += 1;
            let (share, _) = self.disagreement();
            if share >= 0.05 {
                apart += 1;
                longest = longest.max(self.now.since(since));
            } else {
                since = self.now;
            }
        }
        (f64::from(apart) / f64::from(looks), longest)
    }

    fn lane(&self) -> usize {
        let plans = self.plans();
        plans.into_iter().flatten().max_by_key(|p| p.epoch).map_or(0, |p| p.pool_size.into())
    }
}

fn agree(gateways: usize, engines: usize, seed: u64) {
    let mut world = World::new(gateways, engines, seed);
    world.play(Span::secs(4));
    world.sent_bytes = 0;
    let (usual, usual_longest) = world.play(Span::secs(4));
    let bytes = world.sent_bytes as f64 / gateways as f64 / 4.0;
    let calm = world.lane();

    world.chats *= 3.0;
    let (burst, burst_longest) = world.play(Span::secs(5));
    let grown = world.lane();
    world.chats /= 3.0;

    world.cut = (0..gateways / 3).collect();
    world.play(Span::secs(4));
    world.cut.clear();
    let healed_from = world.now;
    let (_, healing) = world.play(Span::secs(4));

    world.restart();
    world.play(Span::secs(3));
    let (_, after_restart) = world.play(Span::secs(3));

    println!(
        "{gateways} gateways: lane {calm}, in a burst {grown}; apart {usual:.2} of the time, at most \
         {usual_longest:?}; in a burst {burst:.2}, {burst_longest:?}; after a cut {healing:?}; after a \
         restart {after_restart:?}; {bytes:.0} bytes/s each"
    );
    assert!(calm > 0 && grown > calm, "the lane follows its streams: {calm} {grown}");
    assert!(usual_longest < LONGEST && burst_longest < LONGEST);
    assert!(healing < LONGEST, "{healing:?} from {healed_from:?}");
    assert!(after_restart < LONGEST);
    assert!(world.disagreement().1 <= engines / 8, "{:?}", world.disagreement());
}

/// Late in a burst each of 300 gateways had an estimate of its own of how many engines to keep for
/// chats, from none to two thirds of them: what was one gateway's lane was another's place for long
/// prompts, and chats paused beside these. Each saw a handful of chats a minute, and learnt from those.
#[test]
fn three_hundred_gateways_mean_the_same_engines() {
    agree(300, 153, 1);
}

/// The same at the size to be designed for.
#[test]
fn four_hundred_and_forty_gateways_mean_the_same_engines() {
    agree(440, 220, 2);
}
