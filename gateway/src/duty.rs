//! Duties that one gateway of the fleet carries out for all: who leads, and what the leader does.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use laburnumwheel_core::gateway::autoscaler::Autoscaler;
use laburnumwheel_core::gateway::autoscaler::Order;
use laburnumwheel_core::gateway::autoscaler::Scaling;
use laburnumwheel_core::gateway::autoscaler::Stocks;
use laburnumwheel_core::gateway::directory;
use laburnumwheel_core::gateway::journal::Journal;
use laburnumwheel_core::gateway::leader;
use laburnumwheel_core::gateway::leader::Election;
use laburnumwheel_core::gateway::leader::Notice;
use laburnumwheel_core::gateway::leader::Outcome;
use laburnumwheel_core::gateway::leader::Permit;
use laburnumwheel_core::gateway::leader::Step;
use laburnumwheel_core::gateway::leader::Token;
use laburnumwheel_core::gateway::leader::Victory;
use laburnumwheel_core::gateway::position::Position;
use laburnumwheel_core::gateway::usage;
use laburnumwheel_core::gateway::usage::Batch;
use laburnumwheel_core::gateway::usage::Report;
use laburnumwheel_core::gateway::usage::Window;
use laburnumwheel_core::gateway::wall::Wall;
use laburnumwheel_core::gateway::wall::WallTime;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use tokio::sync::Notify;

use crate::clock;
use crate::era::Eras;
use crate::log::Line;
use crate::peers;
use crate::peers::Message;
use crate::shared::Shared;
use crate::store::Error;
use crate::store::Reply;
use crate::store::bounded;

/// Shortest time from one exchange of usage batches to the next.
const EXCHANGE: Duration = Duration::from_millis(500);
/// The same for each gateway of the fleet, so that the leader receives at most 500 datagrams a second.
const EXCHANGE_EACH: Duration = Duration::from_millis(2);
/// Time from one look of the leader for something to do to the next.
const WORK: Duration = Duration::from_millis(250);
/// Time from one look at the demand for replicas to the next.
const SCALING: Span = Span::millis(500);
/// Age beyond which a count of the replicas is not gone by.
const COUNT_VALID: Span = Span::millis(2_000);
/// Share of the engines that stay if all spot instances are reclaimed.
const ORDINARY_SHARE: f64 = 0.0;
/// Failed writes of the journal in a row after which the leader resigns.
const MAX_CONFLICTS: u32 = 3;

/// What a deployment asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Times of the election.
    pub election: leader::Rules,
    /// Windows of usage reports, if they are a duty.
    pub usage: Option<usage::Rules>,
    /// Replicas are to be ordered.
    pub scale: bool,
    /// The whole system starts for the first time, so nobody has led before.
    pub is_first_start: bool,
}

/// The leader's record was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acquired {
    /// Its lease.
    pub lease: u64,
    /// Life of the lease.
    pub granted: Span,
    /// Position of the write.
    pub position: Position,
}

/// The journal as the store holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// What leaders have left; `None` if it does not exist or can't be read.
    pub journal: Option<Journal>,
    /// Revision of its last change; 0 if it does not exist.
    pub revision: u64,
}

/// A write of the journal, done only if nobody else has written and the term goes on.
#[derive(Clone, Debug)]
pub struct Write {
    /// What takes the journal's place.
    pub journal: Journal,
    /// Revision that the journal must have.
    pub revision: u64,
    /// The term in which it is written.
    pub token: Token,
}

/// Replicas as a read of the store found them.
#[derive(Clone, Debug, Default)]
pub struct Count {
    /// When the read began.
    pub at: Time,
    /// Bounds and prices, by service.
    pub scaling: Arc<BTreeMap<String, Scaling>>,
    /// Replicas, by service and failure domain.
    pub stocks: BTreeMap<String, Stocks>,
}

/// A call of a duty in progress; an error if it got no answer.
pub type Answer = Pin<Box<dyn Future<Output = io::Result<Outcome>>>>;

/// Calls of the store and of the platform, as one platform makes them.
pub struct Calls {
    /// Writes the leader's record under a new lease of this length, if there is none.
    pub acquire: Box<dyn Fn(Span) -> Reply<Acquired>>,
    /// Renews the lease.
    pub renew: Box<dyn Fn(u64) -> Reply<()>>,
    /// Ends the lease, and the record with it.
    pub release: Box<dyn Fn(u64) -> Reply<()>>,
    /// Reads the journal.
    pub read: Box<dyn Fn() -> Reply<Stored>>,
    /// Writes the journal; returns its revision.
    pub write: Box<dyn Fn(Write) -> Reply<u64>>,
    /// Sends a usage report.
    pub report: Box<dyn Fn(Report, Permit) -> Answer>,
    /// Orders replicas of a service.
    pub order: Box<dyn Fn(String, Order, Permit) -> Answer>,
}

/// State of the duties.
pub struct State {
    rules: Rules,
    calls: Calls,
    election: RefCell<Election>,
    usage: RefCell<Option<usage::Log>>,
    wall: RefCell<Wall>,
    leader: Cell<Option<Notice>>,
    count: RefCell<Count>,
    /// Era of the first sound read of the store.
    first_era: Cell<Option<u64>>,
    woken: Notify,
}

/// Time of day by the host's own clock.
pub fn own_wall() -> WallTime {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

impl State {
    /// The duties of the gateway `name`.
    pub fn new(rules: Rules, calls: Calls, name: &str, incarnation: u64) -> State {
        let now = clock::now();
        let gateway = directory::short(name);
        let log = rules.usage.map(|rules| usage::Log::new(rules, gateway, incarnation));
        State {
            rules,
            calls,
            election: RefCell::new(Election::new(rules.election, now, rules.is_first_start)),
            usage: RefCell::new(log),
            wall: RefCell::new(Wall::new(now, own_wall())),
            leader: Cell::new(None),
            count: RefCell::default(),
            first_era: Cell::new(None),
            woken: Notify::new(),
        }
    }

    /// Counts a request that began to run at `at`.
    pub fn record(&self, at: Time, organisation: &str) {
        if let Some(log) = self.usage.borrow_mut().as_mut() {
            log.record(self.wall.borrow().at(at), organisation);
        }
    }

    /// Takes in the revision of the leader's record, if there is one, that a read of the store found;
    /// it began at `sent`.
    pub fn observe(&self, sent: Time, record: Option<u64>) {
        self.election.borrow_mut().observe(clock::now(), sent, record);
        if record.is_none() {
            self.woken.notify_one();
        }
    }

    /// Takes in the replicas that a read of the store found.
    pub fn count_stocks(&self, count: Count) {
        self.count.replace(count);
    }

    /// Who leads, as far as this gateway knows.
    pub fn leader(&self) -> Option<Notice> {
        self.leader.get()
    }

    /// Takes in who leads.
    pub fn notice(&self, notice: Notice) {
        if self.leader.get().is_none_or(|known| known.token < notice.token) {
            self.leader.set(Some(notice));
        }
    }

    /// Takes in the time of day that a peer stated.
    pub fn observe_wall(&self, now: Time, peer: u32, wall: WallTime) {
        self.wall.borrow_mut().observe(now, peer, wall);
    }

    /// Takes in usage batches; returns which of them need not be sent again.
    pub fn merge(&self, from: u32, batches: Vec<Batch>) -> Vec<usage::BatchId> {
        let token = self.leader.get().map_or(0, |notice| notice.token);
        let mut log = self.usage.borrow_mut();
        log.as_mut().map(|log| log.merge(from, token, batches)).unwrap_or_default()
    }

    /// Takes in that a gateway holds these batches.
    pub fn acked(&self, by: u32, ids: &[usage::BatchId]) {
        if let Some(log) = self.usage.borrow_mut().as_mut() {
            log.acked(by, ids);
        }
    }

    /// Token of this gateway's term; 0 if it does not lead.
    pub fn token(&self) -> u64 {
        self.election.borrow().token().map_or(0, Token::get)
    }
}

/// Campaigns, renews and resigns, for ever.
pub async fn lead(shared: Shared, eras: Eras) {
    let Some(duties) = &shared.duties else {
        return;
    };
    loop {
        let now = clock::now();
        let era = eras.newest().unwrap_or(0);
        if duties.first_era.get().is_none() {
            duties.first_era.set(eras.newest());
        }
        let rank = shared.gateway.borrow().rank(now);
        let step = duties.election.borrow_mut().step(now, era, rank);
        log_ended(&shared, duties);
        match step {
            Step::Wait(span) => {
                tokio::select! {
                    () = tokio::time::sleep(clock::duration(span)) => {}
                    () = duties.woken.notified() => {}
                }
            }
            Step::Campaign => campaign(&shared, duties, &eras).await,
            Step::Renew(lease) => renew(&shared, duties, &eras, lease).await,
            Step::Release(lease) => {
                let result = bounded((duties.calls.release)(lease)).await;
                shared.metrics.store_call("release", result.is_ok());
                duties.election.borrow_mut().released(clock::now());
            }
        }
    }
}

fn log_ended(shared: &Shared, duties: &State) {
    let ended = duties.election.borrow_mut().drain_ended();
    for (token, end) in ended {
        shared.metrics.count("terms_ended_total", format!("cause=\"{end}\""));
        shared.log(Line::new("term_ended").with("token", token).with("cause", end));
    }
}

async fn campaign(shared: &Shared, duties: &State, eras: &Eras) {
    duties.election.borrow_mut().campaigning();
    let sent = clock::now();
    let acquired = bounded((duties.calls.acquire)(duties.rules.election.lease)).await;
    shared.metrics.store_call("acquire", acquired.is_ok());
    let acquired = match acquired {
        Ok(acquired) => acquired,
        Err(e) => {
            shared.log(Line::new("campaign_lost").with("error", e));
            duties.election.borrow_mut().defeated();
            return;
        }
    };
    let stored = bounded((duties.calls.read)()).await;
    shared.metrics.store_call("journal", stored.is_ok());
    let stored = match stored {
        Ok(stored) if eras.newest().unwrap_or(0) == acquired.position.era => stored,
        other => {
            // The lease lapses by itself: nobody acts under it.
            let error = other.err().map_or_else(|| "rollback".to_owned(), |e| e.to_string());
            shared.log(Line::new("campaign_lost").with("error", error));
            duties.election.borrow_mut().defeated();
            return;
        }
    };
    let victory = Victory {
        sent,
        lease: acquired.lease,
        granted: acquired.granted,
        position: acquired.position,
        last_era: last_era(duties, &stored, acquired.position.era),
    };
    let now = clock::now();
    if !duties.election.borrow_mut().won(now, &victory) {
        shared.log(Line::new("campaign_lost").with("error", "position out of range"));
        return;
    }
    let token = duties.token();
    let gateway = directory::short(shared.gateway.borrow().name());
    duties.notice(Notice { token, gateway });
    shared.metrics.count("terms_total", String::new());
    let line = Line::new("term_began").with("token", token).with("lease", acquired.lease);
    shared.log(line.with("position", acquired.position));
    tokio::task::spawn_local(work(shared.clone(), eras.clone(), token, stored));
}

/// Era of the last term; at the first start of the whole system there was none, so that nobody is
/// waited for.
fn last_era(duties: &State, stored: &Stored, era: u64) -> Option<u64> {
    match &stored.journal {
        Some(journal) => Some(journal.era),
        // A store that has come back since may have lost the journal.
        None if duties.rules.is_first_start && duties.first_era.get() == Some(era) => Some(era),
        None => None,
    }
}

async fn renew(shared: &Shared, duties: &State, eras: &Eras, lease: u64) {
    let sent = clock::now();
    let result = bounded((duties.calls.renew)(lease)).await;
    shared.metrics.store_call("renew_leader", result.is_ok());
    let (now, era) = (clock::now(), eras.newest().unwrap_or(0));
    let mut election = duties.election.borrow_mut();
    match result {
        Ok(()) => election.renewed(now, sent, era),
        Err(Error::Ended) => election.lose(now, leader::End::LeaseEnded),
        Err(_) => election.renewal_failed(now),
    }
}

/// One term of this gateway.
struct Term<'a> {
    shared: &'a Shared,
    duties: &'a State,
    eras: &'a Eras,
    token: u64,
    stored: Stored,
    /// The journal in the store may differ from the known one.
    is_stale: bool,
    conflicts: u32,
    accepted: Window,
    left_out: Window,
    autoscalers: BTreeMap<String, Autoscaler>,
    scaled_at: Time,
}

/// Carries the duties out until the term ends.
async fn work(shared: Shared, eras: Eras, token: u64, stored: Stored) {
    let Some(duties) = &shared.duties else {
        return;
    };
    let (is_stale, conflicts, accepted, left_out) = (false, 0, 0, 0);
    let (autoscalers, scaled_at) = (BTreeMap::new(), Time(0));
    let mut term = Term {
        shared: &shared,
        duties,
        eras: &eras,
        token,
        stored,
        is_stale,
        conflicts,
        accepted,
        left_out,
        autoscalers,
        scaled_at,
    };
    while duties.token() == token {
        if duties.election.borrow().acting(clock::now()).is_some() {
            term.report_usage().await;
            term.scale().await;
        }
        tokio::time::sleep(WORK).await;
    }
}

impl Term<'_> {
    fn wall(&self) -> WallTime {
        self.duties.wall.borrow().at(clock::now())
    }

    /// Fixes and sends the reports that are due.
    async fn report_usage(&mut self) {
        if !self.has_journal().await {
            return;
        }
        let wall = self.wall();
        let windows = match self.duties.usage.borrow().as_ref() {
            Some(log) => log.reportable(wall),
            None => return,
        };
        let accepted = self.accepted;
        for window in windows.into_iter().filter(|w| *w > accepted) {
            let fixed = self.stored.journal.as_ref().and_then(|j| j.report(window)).cloned();
            let fixed = match fixed {
                Some(report) => Some(report),
                None => self.fix(window).await,
            };
            let Some(report) = fixed else {
                if self.is_stale {
                    return;
                }
                continue;
            };
            if !self.send(report).await {
                return;
            }
        }
    }

    /// Whether the journal is known and is that of this term's era.
    async fn has_journal(&mut self) -> bool {
        if self.is_stale {
            let stored = bounded((self.duties.calls.read)()).await;
            self.shared.metrics.store_call("journal", stored.is_ok());
            let Ok(stored) = stored else {
                return false;
            };
            self.stored = stored;
            self.is_stale = false;
        }
        let Some(token) = self.duties.election.borrow().acting(clock::now()) else {
            return false;
        };
        let journal = self.stored.journal.clone().unwrap_or_default();
        if self.stored.journal.is_some() && journal.era == token.era() {
            return true;
        }
        // What the predecessor of another era has sent is not known, so nothing is sent of any window
        // that it may have reported.
        let last_window = match self.duties.usage.borrow().as_ref() {
            Some(log) => log.last_reported(self.wall()),
            None => 0,
        };
        self.write(token, journal.with_term(token.era(), last_window)).await
    }

    async fn write(&mut self, token: Token, journal: Journal) -> bool {
        let write = Write { journal: journal.clone(), revision: self.stored.revision, token };
        let result = bounded((self.duties.calls.write)(write)).await;
        self.shared.metrics.store_call("journal", result.is_ok());
        match result {
            Ok(revision) if self.eras.newest().unwrap_or(0) == token.era() => {
                self.stored = Stored { journal: Some(journal), revision };
                self.conflicts = 0;
                true
            }
            result => {
                self.is_stale = true;
                self.conflicts += 1;
                if self.conflicts >= MAX_CONFLICTS && result == Err(Error::Refused(412)) {
                    self.duties.election.borrow_mut().resign(leader::End::LeaseEnded);
                }
                false
            }
        }
    }

    /// Fixes what the report of a window says; `None` if nobody can vouch for it, or the write failed.
    async fn fix(&mut self, window: Window) -> Option<Report> {
        let (report, reporters) = {
            let log = self.duties.usage.borrow();
            let log = log.as_ref()?;
            (log.report(window), log.reporters(window))
        };
        let is_open = self.stored.journal.as_ref().is_some_and(|j| j.is_open(window));
        let gateways = self.shared.gateway.borrow().gateways_heard(clock::now()) + 1;
        if !is_open || reporters * 2 < gateways {
            self.leave_out(window, reporters);
            return None;
        }
        let token = self.duties.election.borrow().acting(clock::now())?;
        let journal = self.stored.journal.clone()?.with_report(report.clone());
        if !self.write(token, journal).await {
            return None;
        }
        let requests: u64 = report.counts.values().sum();
        let line = Line::new("usage_fixed").with("window", window).with("requests", requests);
        self.shared.log(line.with("gateways", reporters).with("token", self.token));
        Some(report)
    }

    fn leave_out(&mut self, window: Window, reporters: usize) {
        if window > self.left_out {
            self.left_out = window;
            self.shared.metrics.count("usage_windows_total", "outcome=\"left_out\"".to_owned());
            let line = Line::new("usage_left_out").with("window", window);
            self.shared.log(line.with("gateways", reporters).with("token", self.token));
        }
    }

    /// Sends a report that is fixed; `false` if no more calls can be made now.
    async fn send(&mut self, report: Report) -> bool {
        let now = clock::now();
        let era = self.eras.newest().unwrap_or(0);
        let permit = self.duties.election.borrow_mut().begin_call(now, era);
        let Some(permit) = permit else {
            return false;
        };
        let window = report.window;
        let answer = (self.duties.calls.report)(report, permit).await;
        let outcome = *answer.as_ref().unwrap_or(&Outcome::Unanswered);
        let ended = clock::now();
        self.duties.election.borrow_mut().end_call(ended, &permit, outcome);
        self.duties.woken.notify_one();
        self.shared.metrics.count("usage_windows_total", format!("outcome=\"{outcome}\""));
        let line = Line::new("usage_reported").with("window", window).with("outcome", outcome);
        let line = line.with("token", permit.token);
        let line = line.with("took_ms", ended.since(now).as_millis());
        self.shared.log(match answer {
            Ok(_) => line,
            Err(e) => line.with("error", e),
        });
        if outcome == Outcome::Accepted {
            self.accepted = window;
        }
        outcome == Outcome::Accepted
    }
}

impl Term<'_> {
    /// Orders the replicas that the demand asks for.
    async fn scale(&mut self) {
        let now = clock::now();
        if !self.duties.rules.scale || now.since(self.scaled_at) < SCALING {
            return;
        }
        self.scaled_at = now;
        let count = self.duties.count.borrow().clone();
        if now.since(count.at) > COUNT_VALID {
            return;
        }
        for (service, scaling) in count.scaling.iter() {
            if let Some(stocks) = count.stocks.get(service) {
                self.scale_service(service, scaling, stocks).await;
            }
        }
    }

    async fn scale_service(&mut self, service: &str, scaling: &Scaling, stocks: &Stocks) {
        let now = clock::now();
        let (calls, slots) = {
            let gateway = self.shared.gateway.borrow();
            (gateway.calls_at(now, service), gateway.slots(service))
        };
        let Some(slots) = slots else {
            return;
        };
        let autoscaler = self.autoscalers.entry(service.to_owned());
        let autoscaler = autoscaler.or_insert_with(|| Autoscaler::new(slots, ORDINARY_SHARE));
        autoscaler.observe(now, calls, stocks);
        let orders = autoscaler.plan(now, scaling, stocks);
        for order in orders {
            if !self.order(service, order, calls, stocks).await {
                return;
            }
        }
    }

    /// Places an order; `false` if no more calls can be made now.
    async fn order(&mut self, service: &str, order: Order, calls: f64, stocks: &Stocks) -> bool {
        let now = clock::now();
        let era = self.eras.newest().unwrap_or(0);
        let permit = self.duties.election.borrow_mut().begin_call(now, era);
        let Some(permit) = permit else {
            return false;
        };
        let answer = (self.duties.calls.order)(service.to_owned(), order.clone(), permit).await;
        let outcome = *answer.as_ref().unwrap_or(&Outcome::Unanswered);
        let ended = clock::now();
        self.duties.election.borrow_mut().end_call(ended, &permit, outcome);
        self.duties.woken.notify_one();
        let labels = format!("kind=\"{}\",outcome=\"{outcome}\"", order.kind);
        self.shared.metrics.count("orders_total", labels);
        let stock = stocks.get(&order.domain).cloned().unwrap_or_default();
        let line = Line::new("replicas_ordered")
            .with("service", service)
            .with("domain", &order.domain)
            .with("kind", order.kind)
            .with("desired", order.desired)
            .with("outcome", outcome)
            .with("token", permit.token)
            .with("ordinary", stock.ordinary)
            .with("spot", stock.spot)
            .with("reclaimed", stock.reclaimed)
            .with("calls", calls.round());
        let autoscaler = self.autoscalers.get_mut(service);
        let needed = autoscaler.as_ref().map_or(0, |autoscaler| autoscaler.needed());
        self.shared.log(line.with("needed", needed));
        if let Some(autoscaler) = autoscaler {
            autoscaler.placed(ended, &order, outcome, stocks);
        }
        outcome != Outcome::Unanswered
    }
}

/// Hands what was counted to the leader and to a backup, for ever.
pub async fn exchange(shared: Shared) {
    let Some(duties) = &shared.duties else {
        return;
    };
    if duties.rules.usage.is_none() {
        return;
    }
    loop {
        let gateways = shared.gateway.borrow().sharers() as u32;
        tokio::time::sleep(EXCHANGE.max(EXCHANGE_EACH * gateways)).await;
        hand_over_counts(&shared, duties).await;
    }
}

/// Sends batches that the leader or the backup have not acknowledged.
pub async fn hand_over_counts(shared: &Shared, duties: &State) {
    let now = clock::now();
    duties.wall.borrow_mut().refresh(now, own_wall());
    let wall = duties.wall.borrow().at(now);
    let leader = duties.leader.get();
    let token = leader.map_or(0, |notice| notice.token);
    let (own, leader_address, backup) = {
        let gateway = shared.gateway.borrow();
        let own = directory::short(gateway.name());
        let leader = leader.map(|notice| notice.gateway).filter(|leader| *leader != own);
        let address = leader.and_then(|leader| gateway.directory().address(leader));
        let backup = gateway.directory().backup(now, gateway.name(), leader);
        let backup = backup.map(|(short, address)| (short, address.to_owned()));
        (own, leader.zip(address.map(str::to_owned)), backup)
    };
    let mut messages = Vec::new();
    if let Some(log) = duties.usage.borrow_mut().as_mut() {
        log.flush(wall, token);
        if let Some((leader, address)) = leader_address {
            messages.push((address, log.for_leader(leader, token)));
        }
        if let Some((backup, address)) = backup {
            messages.push((address, log.for_backup(backup)));
        }
    }
    for (address, batches) in messages.into_iter().filter(|(_, batches)| !batches.is_empty()) {
        if let Ok(address) = address.parse::<SocketAddr>() {
            peers::post(&shared.socket, address, &Message::Usage(own, batches)).await;
        }
    }
}

/// Ends the term, if there is one, so that a successor need not wait for its lease to lapse.
pub fn stop(shared: &Shared) {
    if let Some(duties) = &shared.duties {
        duties.election.borrow_mut().stop();
        duties.woken.notify_one();
    }
}

/// Hands the last counts of a process over that is about to end.
pub async fn finish(shared: &Shared) {
    if let Some(duties) = &shared.duties {
        hand_over_counts(shared, duties).await;
    }
}
