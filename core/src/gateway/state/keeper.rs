//! A gateway as the keeper of some engines, and as one that asks and tells the keepers of others.

use std::collections::BTreeMap;

use super::Gateway;
use super::Grant;
use super::need;
use crate::gateway::ask::Ask;
use crate::gateway::directory;
use crate::gateway::ledger::Notice;
use crate::gateway::ledger::Standing;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Time from one look for engines that have another keeper now to the next.
const TIDY: Span = Span::millis(500);

impl Gateway {
    /// Engines whose keepers are worth asking before a call is sent, by keeper; `None` stands for
    /// this gateway.
    pub fn inquiries(
        &mut self,
        now: Time,
        ask: &Ask,
        grant: &Grant,
    ) -> BTreeMap<Option<String>, Vec<Digest>> {
        let mut inquiries: BTreeMap<Option<String>, Vec<Digest>> = BTreeMap::new();
        let Some(engine) = self.engine(grant) else {
            return inquiries;
        };
        let u = self.engine_use(now, ask, grant, &engine);
        if ask.parts.is_empty() {
            return inquiries;
        }
        let need = need(ask, grant, Some(u), &[]);
        let domain = &self.settings.entry.domain;
        for engine in self.fleet.worth_asking(now, &need, domain, &grant.tried) {
            let keeper = self.directory.keeper(now, &self.settings.entry.name, engine);
            let address = keeper.map(|(_, address)| address.to_owned());
            inquiries.entry(address).or_default().push(engine);
        }
        inquiries
    }

    /// What this gateway knows as the keeper of these engines.
    pub fn standings(&mut self, now: Time, engines: &[Digest]) -> Vec<Standing> {
        let listed = engines.iter().filter(|engine| self.fleet.has(**engine));
        listed.filter_map(|engine| self.ledger.standing(now, *engine)).collect()
    }

    /// Takes in what another gateway tells the keeper of an engine. What concerns a run that is not
    /// listed is dropped: it is a former one, or comes before its entry and its ledger is too young
    /// to say anything.
    pub fn note(&mut self, now: Time, notices: &[Notice]) {
        self.tidy(now);
        for notice in notices.iter().filter(|notice| self.fleet.has(notice.engine)) {
            self.ledger.note(now, notice);
        }
    }

    /// Forgets engines that are gone or have another keeper now, and calls of gateways that are gone.
    fn tidy(&mut self, now: Time) {
        if now.since(self.tidied) < TIDY {
            return;
        }
        self.tidied = now;
        let (directory, name) = (&self.directory, self.settings.entry.name.as_str());
        let own = directory::short(name);
        let fleet = &self.fleet;
        self.ledger
            .release(|engine| fleet.has(engine) && directory.keeper(now, name, engine).is_none());
        self.ledger.retain(|gateway| gateway == own || directory.lives(now, gateway));
    }

    /// What other gateways have to be told as keepers, by address. What concerns this one's own
    /// ledger is taken in.
    pub fn take_notices(&mut self, now: Time) -> BTreeMap<String, Vec<Notice>> {
        self.tidy(now);
        let own = u64::from(directory::short(&self.settings.entry.name)) << 32;
        let mut told: BTreeMap<String, Vec<Notice>> = BTreeMap::new();
        for notice in self.fleet.take_notices() {
            let notice = Notice { call: own | notice.call, ..notice };
            let keeper = self.directory.keeper(now, &self.settings.entry.name, notice.engine);
            match keeper.map(|(_, address)| address.to_owned()) {
                Some(address) => told.entry(address).or_default().push(notice),
                None if self.fleet.has(notice.engine) => self.ledger.note(now, &notice),
                None => {}
            }
        }
        told
    }
}
