//! Handles messages of other routers, and sends them this router's demand.

use super::Node;
use crate::action::Action;
use crate::action::Line;
use crate::idempotency::Handover;
use crate::member::ReceivedProbe;
use crate::peer::Demand;
use crate::peer::Message;
use crate::time::Time;
use crate::upstream::Upstream;

impl Node {
    /// Sends this router's demand to the routers that share a group with it, with the names of
    /// upstreams that were found to be leaving.
    pub(super) fn send_demand(&mut self, now: Time, leaving: Vec<String>) {
        let wanted = self.demand_by_group();
        let used = self.usage_by_org(now);
        let demand = Demand { wanted, used, leaving };
        let peers = self.sharing_peers();
        let peers: Vec<String> = peers.into_iter().map(|r| r.peer_address.clone()).collect();
        for address in peers {
            self.send(address, Message::Demand(demand.clone()));
        }
    }

    /// Tells the peers immediately that an upstream is leaving.
    pub(super) fn announce_leaving(&mut self, now: Time, key: crate::arena::Key<Upstream>) {
        if let Some(up) = self.upstreams.get(key) {
            let name = up.name.clone();
            self.out.push(Action::Log(Line::new("upstream_leaving").with("upstream", &name)));
            self.send_demand(now, vec![name]);
        }
    }

    /// Handles the demand of a peer and the names of leaving upstreams in it.
    pub(super) fn on_demand(&mut self, now: Time, from: &str, demand: Demand) {
        self.demands.receive(now, from, demand.wanted);
        for (name, (requests, tokens)) in demand.used {
            if let Some(org) = self.index.organisation_named(&name) {
                self.limits.receive(now, org, from, requests, tokens);
            }
        }
        for name in demand.leaving {
            if let Some(key) = self.upstream_by_name.get(&name).copied()
                && let Some(up) = self.upstreams.get_mut(key)
            {
                up.hint_leaving(now);
                self.rank_upstream(now, key);
            }
        }
    }

    /// Handles a message of a peer.
    pub(super) fn on_peer(&mut self, now: Time, from: &str, incarnation: u64, message: Message) {
        let known = self.members.get(from).map_or(0, |r| r.incarnation);
        if from == self.settings.name || incarnation < known {
            // A delayed message of an earlier run of that router.
            return;
        }
        match message {
            Message::Probe { sequence, anew, gossip } => {
                self.on_gossip(now, from, &gossip);
                let probe = ReceivedProbe { sequence, anew, gossip };
                let (rng, out) = (&mut self.rng, &mut self.out);
                self.members.on_probe(now, rng, out, from, probe);
            }
            Message::Answer { sequence, gossip } => {
                self.on_gossip(now, from, &gossip);
                let (rng, out) = (&mut self.rng, &mut self.out);
                self.members.on_answer(now, rng, out, from, sequence, gossip);
            }
            Message::ProbeFor { sequence, address } => {
                self.members.on_probe_for(now, &mut self.out, from, sequence, address);
            }
            Message::News(gossip) => {
                self.on_gossip(now, from, &gossip);
                self.members.merge(now, &mut self.rng, &mut self.out, gossip.records);
            }
            Message::AskMembers { record } => {
                self.members.on_ask_members(now, &mut self.rng, &mut self.out, record);
            }
            Message::Members(records) => {
                self.members.merge(now, &mut self.rng, &mut self.out, records);
            }
            Message::Demand(demand) => self.on_demand(now, from, demand),
            Message::AskRoot { have } => {
                let change = self.sync.change_since(have);
                self.send_to(from, Message::Root(change));
            }
            Message::Root(change) => self.on_root(now, from, &change),
            Message::AskShards(hashes) => self.on_ask_shards(from, &hashes),
            Message::Shard(content) => {
                self.sync.add_shard(content);
                self.step_sync(now);
            }
            Message::Forward { request, submission } => {
                self.on_forward(now, from, request, submission);
            }
            Message::Forwarded { request, outcome } => self.on_forwarded(request, outcome),
            Message::Table(part) => self.on_table(now, from, part),
            Message::TableTaken(home) => self.on_table_taken(&home),
        }
    }

    /// Sends a message to the router with this name, if it is known.
    pub(super) fn send_to(&mut self, to: &str, message: Message) {
        if let Some(address) = self.members.get(to).map(|r| r.peer_address.clone()) {
            self.send(address, message);
        }
    }

    /// Takes over part of another router's idempotency table, and confirms it once all parts have
    /// arrived.
    pub(super) fn on_table(&mut self, now: Time, from: &str, part: Handover) {
        let home = part.home.clone();
        if !self.table.take_over(now, part) {
            return;
        }
        let adopted = self.members.own().adopted.contains(&home);
        if !adopted && home != self.members.own().home() {
            let name = home.clone();
            self.members.update(&mut self.rng, &mut self.out, |own| own.adopted.push(name));
        }
        self.send_to(from, Message::TableTaken(home));
    }
}
