//! Origins of streams: replicates them, and finds those of streams that callers resume.
//!
//! See [`crate::gateway::origin`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Gateway;
use super::Grant;
use crate::gateway::build::Build;
use crate::gateway::directory;
use crate::gateway::fleet::Certainty;
use crate::gateway::fleet::Claim;
use crate::gateway::origin;
use crate::gateway::origin::Answer;
use crate::gateway::origin::Builds;
use crate::gateway::origin::Call;
use crate::gateway::origin::Known;
use crate::gateway::origin::NO_REPLICA;
use crate::gateway::origin::Origin;
use crate::gateway::origin::Own;
use crate::gateway::origin::Question;
use crate::gateway::origin::Record;
use crate::gateway::origin::Stored;
use crate::gateway::refusal::Reason;
use crate::gateway::refusal::Refusal;
use crate::gateway::submission::Submission;
use crate::time::Span;
use crate::time::Time;

/// Gateways that each origin is replicated to. Of the streams of gateways that are killed together with three
/// quarters of all others, more than half are then known.
const COPIES: usize = 3;
/// The same in a small fleet, of which a greater share may end at once.
const SMALL_FLEET_COPIES: usize = 4;
/// Number of live peers up to which a fleet is small. A resumption queries all of them.
const SMALL_FLEET: usize = QUERIED;
/// Most gateways that start between two ticks for each of which its place among the holders of a stream
/// is searched. For more of them, ranking all gateways once for each stream takes less time.
const MAX_SEARCHED: usize = 64;
/// Gateways that are queried for an origin, in the order of replication. Some that hold it may have
/// ended since, and others may have taken their places.
const QUERIED: usize = 8;
/// Time after which a caller retries whose stream can't go on now.
const RETRY_STREAM: Span = Span::millis(300);
/// The same if all gateways that should know the stream's origin have answered that they don't: a retry
/// soon after would be in vain.
const RETRY_UNKNOWN_STREAM: Span = Span::secs(1);

/// Refusal of a stream whose origin may be known soon.
const REFUSAL: Refusal = Refusal::not_run(Reason::UnknownOrigin, RETRY_STREAM);

/// Records by the address of the gateway that gets them.
pub type Copies = BTreeMap<String, Vec<Record>>;

impl Gateway {
    /// Records that the first event of a stream has arrived. Returns the records to replicate before
    /// the event is forwarded; none while the service has one build.
    pub fn record_stream(
        &mut self,
        now: Time,
        submission: &Submission,
        grant: &mut Grant,
        claim: &Claim,
    ) -> Copies {
        // A resumed stream keeps the origin of the attempt that its caller names.
        let began = submission.last_event.is_none();
        let origin = self.fleet.origin(claim, &grant.service).filter(|_| began);
        let Some(origin) = origin else {
            return Copies::new();
        };
        let opened = claim.connected.unwrap_or(claim.sent);
        grant.origin = Some(origin);
        grant.origin_opened = opened;
        // A run that can't be resumed may still be moved.
        if !grant.route.idempotent {
            return Copies::new();
        }
        self.origins.sweep(now - self.stream_lifetime());
        let service = directory::short_hash(&grant.service);
        let call = Call::of(&submission.id);
        let is_replicated = self.only_build(now, &grant.service).is_none();
        let own = Own { service, is_replicated, opened };
        self.origins.record(now, &Record { call, origin }, Some(own));
        let record = self.record_of(call, Known { origin, opened }).filter(|_| is_replicated);
        self.copies(now, record.into_iter().collect())
    }

    /// Records to replicate from now on: of own streams that began while their service had one build, if
    /// that is no longer certain, and those for gateways that have started since the last call.
    pub fn take_unreplicated_streams(&mut self, now: Time) -> Copies {
        let is_unsettled = |service: &&str| {
            self.fleet.states_builds(service) && self.only_build(now, service).is_none()
        };
        let unsettled: Vec<u32> =
            self.fleet.services().filter(is_unsettled).map(directory::short_hash).collect();
        let mut known = Vec::new();
        for service in self.origins.unreplicated_services() {
            if unsettled.contains(&service) {
                known.extend(self.origins.take_unreplicated(service));
            }
        }
        let records = known.into_iter().filter_map(|(call, known)| self.record_of(call, known));
        let mut copies = self.copies(now, records.collect());
        self.add_joined(now, &mut copies);
        copies
    }

    /// Origins of own streams to back up at one other gateway, while their service has one build. A
    /// pending origin is sent at once and again when it is certain. None in a large fleet: a resumption
    /// queries the holders of its stream there, which would take a datagram for each stream.
    pub fn take_backups(&mut self, now: Time) -> Copies {
        let mut copies = Copies::new();
        if !self.is_small_fleet(now) {
            return copies;
        }
        let mut records = Vec::new();
        let mut settled = Vec::new();
        for (call, known, is_sent) in self.origins.unbacked() {
            let is_pending = self.certainty(&known) == Certainty::Pending;
            if !is_pending {
                settled.push(call);
            }
            if !is_pending || !is_sent {
                records.extend(self.record_of(call, known));
            }
        }
        if let Some(first) = records.first() {
            // Any gateway will do; batches go to different ones.
            let Some(holder) = self.directory.holders(now, first.call.0, 1).pop() else {
                return copies;
            };
            for record in &records {
                self.origins.record_backup(record.call);
            }
            copies.insert(holder, records);
        }
        for call in settled {
            self.origins.end_backup(call);
        }
        copies
    }

    /// Adds the records that belong to gateways which have started since the last call.
    fn add_joined(&mut self, now: Time, copies: &mut Copies) {
        let since = std::mem::replace(&mut self.streams_replicated, now);
        let live = self.directory.live_hashes(now);
        let joined = self.directory.joined_since(since);
        let joined: Vec<(u32, &str)> = joined.filter(|(hash, _)| live.contains(hash)).collect();
        if joined.is_empty() {
            return;
        }
        let count = self.copies_of_origins(now);
        let replicated = self.origins.replicated();
        let records = replicated.filter_map(|(call, known)| self.record_of(call, known));
        if joined.len() > MAX_SEARCHED {
            let addresses: BTreeSet<&str> = joined.iter().map(|(_, address)| *address).collect();
            for record in records {
                for holder in self.holders(now, record.call) {
                    if addresses.contains(holder.as_str()) {
                        copies.entry(holder).or_default().push(record);
                    }
                }
            }
            return;
        }
        for record in records {
            for (hash, address) in &joined {
                if directory::is_holder(&live, *hash, record.call.0, count) {
                    copies.entry((*address).to_owned()).or_default().push(record);
                }
            }
        }
    }

    /// Records origins that another gateway replicates.
    pub fn receive_origins(&mut self, now: Time, records: &[Record]) {
        self.origins.sweep(now - self.stream_lifetime());
        for record in records {
            self.origins.record(now, record, None);
        }
    }

    /// Builds of own streams to store from now on: those that were replicated since the last call and
    /// are certain.
    pub fn take_unstored_streams(&mut self, now: Time) -> Vec<Stored> {
        let max_count = origin::max_batch(self.fleet_size(now));
        let records = self.origins.take_unstored(max_count);
        let build = |(call, known): (Call, Known)| {
            let build = self.record_of(call, known)?.origin.build?;
            Some(Stored { call, build })
        };
        records.into_iter().filter_map(build).collect()
    }

    /// Time from one batch of stored origins to the next.
    pub fn origin_batch_interval(&self, now: Time) -> Span {
        origin::batch_interval(self.fleet_size(now))
    }

    fn fleet_size(&self, now: Time) -> usize {
        self.directory.live_peers(now) + 1
    }

    /// Time for which a stored origin is of use.
    pub fn origin_lifetime(&self) -> Span {
        self.stream_lifetime()
    }

    /// Whether streams from before the start of this gateway may still be resumed.
    pub fn needs_stored_origins(&self, now: Time) -> bool {
        now.since(self.started_at) < self.stream_lifetime()
    }

    /// Restores stored origins that this gateway does not know.
    pub fn restore_origins(&mut self, now: Time, stored: &[Stored]) {
        for Stored { call, build } in stored {
            if self.origins.get(*call).is_none() {
                let origin = Origin::of_build(*build);
                self.origins.record(now, &Record { call: *call, origin }, None);
            }
        }
    }

    /// Restores the builds of services for as long as streams last, by a read of the store that was sent
    /// at `sent`.
    pub fn restore_builds(&mut self, sent: Time, stored: Builds) {
        self.stored_builds = (sent, stored);
    }

    /// Whether stored builds would tell this gateway more of services than it has seen since its start.
    pub fn lacks_stored_builds(&self, now: Time) -> bool {
        let (_, stored) = &self.stored_builds;
        let is_missing =
            |service: &str| self.fleet.states_builds(service) && !stored.contains_key(service);
        self.needs_stored_origins(now) && self.fleet.services().any(is_missing)
    }

    /// Builds of the services for as long as streams last, if the stored ones differ. Stored builds are
    /// kept for as long as this gateway can't tell, as after its start.
    pub fn builds_to_store(&self, now: Time, stored: &Builds) -> Option<Builds> {
        let since = now - self.stream_lifetime();
        let is_informed = self.freshness.unbroken_since(now).is_some_and(|from| from <= since);
        let mut builds = stored.clone();
        for service in self.fleet.services().filter(|service| self.fleet.states_builds(service)) {
            let since = if is_informed { since } else { Time(0) };
            let seen: Option<BTreeSet<Build>> = self.fleet.builds_since(service, since).collect();
            let before = stored.get(service).filter(|_| !is_informed);
            let value = match (seen, before) {
                (None, _) => BTreeSet::new(),
                (Some(seen), None) => seen,
                (Some(_), Some(before)) if before.is_empty() => BTreeSet::new(),
                (Some(seen), Some(before)) => before.union(&seen).copied().collect(),
            };
            builds.insert(service.to_owned(), value);
        }
        (builds != *stored).then_some(builds)
    }

    /// Answers the query of another gateway that it sends for the first time.
    pub fn answer_origin(&self, now: Time, question: &Question) -> Answer {
        self.answer_repeated_origin(now, now, question)
    }

    /// Answers the query of another gateway that it first sent at `asked`. The one build of a service is
    /// no answer until the lists are proved current from then on.
    pub fn answer_repeated_origin(&self, now: Time, asked: Time, question: &Question) -> Answer {
        if let Some(known) = self.origins.known(question.call) {
            let record = self.record_of(question.call, known);
            return record.map_or(Answer::Unknown, |record| Answer::Known(record.origin));
        }
        let is_asked = |service: &&str| directory::short_hash(service) == question.service;
        let service = self.fleet.services().find(is_asked);
        let only = service.filter(|service| self.is_complete_since(now, service, asked));
        let only = only.and_then(|service| self.only_build(now, service));
        only.map_or(Answer::Unknown, Answer::Only)
    }

    /// Finds the origin of the stream that a call resumes. Returns a query, and the addresses of the
    /// gateways to send it to, if this one does not know; [`Gateway::record_answers`] then decides.
    ///
    /// # Errors
    ///
    /// The refusal to answer the caller with.
    pub fn resolve_origin(
        &self,
        now: Time,
        submission: &Submission,
        grant: &mut Grant,
    ) -> Result<Option<(Question, Vec<String>)>, Refusal> {
        let resumes = grant.route.streams && submission.last_event.is_some();
        if !resumes || grant.origin.is_some() || !self.fleet.states_builds(&grant.service) {
            return Ok(None);
        }
        let Some(first) = &submission.resumes else {
            // The stream is not named, so its build is known only if there is one.
            let seen = self.fleet.only_build(&grant.service, Time(0));
            let seen =
                seen.filter(|_| self.is_complete_since(now, &grant.service, grant.resumed_at));
            let build = seen.ok_or(REFUSAL)?;
            grant.origin = origin_of(build);
            return Ok(None);
        };
        self.resolve_call(now, Call::of(first), grant)
    }

    /// The same for a stream that goes on within its response, and that another gateway has served.
    ///
    /// # Errors
    ///
    /// The refusal to answer the caller with.
    pub fn resolve_delegated(
        &self,
        now: Time,
        submission: &Submission,
        grant: &mut Grant,
    ) -> Result<Option<(Question, Vec<String>)>, Refusal> {
        if grant.origin.is_some() || !self.fleet.states_builds(&grant.service) {
            return Ok(None);
        }
        self.resolve_call(now, Call::of(&submission.id), grant)
    }

    fn resolve_call(
        &self,
        now: Time,
        call: Call,
        grant: &mut Grant,
    ) -> Result<Option<(Question, Vec<String>)>, Refusal> {
        if let Some(known) = self.origins.known(call) {
            let record = self.record_of(call, known);
            grant.origin = Some(record.ok_or(REFUSAL)?.origin);
            grant.origin_opened = known.opened;
            return Ok(None);
        }
        let question = Question { call, service: directory::short_hash(&grant.service) };
        Ok(Some((question, self.directory.holders(now, call.0, QUERIED))))
    }

    /// Sets the origin of the stream that a call resumes by the answers of the gateways that were asked.
    ///
    /// # Errors
    ///
    /// The refusal to answer the caller with.
    pub fn record_answers(
        &self,
        now: Time,
        grant: &mut Grant,
        asked: usize,
        answers: &[Answer],
    ) -> Result<(), Refusal> {
        let known = answers.iter().filter_map(|answer| match answer {
            Answer::Known(origin) => Some(*origin),
            _ => None,
        });
        if let Some(origin) = known.max_by_key(Origin::is_confirmed) {
            grant.origin = Some(origin);
            grant.origin_opened = grant.resumed_at;
            return Ok(());
        }
        let answered = answers.iter().find_map(|answer| match answer {
            Answer::Only(build) => Some(*build),
            _ => None,
        });
        let own = self.only_build(now, &grant.service);
        let own = own.filter(|_| self.is_complete_since(now, &grant.service, grant.resumed_at));
        let only = own.or(answered);
        let all_answered = asked > 0 && answers.len() == asked;
        let retry_after = if all_answered { RETRY_UNKNOWN_STREAM } else { RETRY_STREAM };
        grant.origin = origin_of(only.ok_or(Refusal::not_run(Reason::UnknownOrigin, retry_after))?);
        Ok(())
    }

    /// Whether a list that was sent at `time` or later has been read. One from before lacks replicas, and
    /// builds, that other gateways may have used at that time. If a replica of the service may have just
    /// started again, maybe with another build, the list must be late enough for its new entry.
    fn is_complete_since(&self, now: Time, service: &str, time: Time) -> bool {
        let is_read = self.freshness.proved_at().is_some_and(|proved_at| proved_at >= time);
        is_read
            && (!self.fleet.may_have_restarted(now, service) || self.fleet.is_listed_since(time))
    }

    /// Whether the next lists of this gateway, or of others, may show the one build that a stream of
    /// unknown origin can have.
    pub fn may_learn_build(&self, now: Time, grant: &Grant) -> bool {
        let since = now - self.stream_lifetime();
        let is_young = self.freshness.unbroken_since(now).is_none_or(|from| from > since);
        self.fleet.only_build(&grant.service, Time(0)).is_some()
            && (is_young || !self.is_complete_since(now, &grant.service, grant.resumed_at))
    }

    /// Refuses the origin of a stream that is doubtful, before the stream is resumed.
    pub fn confirm_origin(&self, submission: &Submission, grant: &mut Grant) {
        if let Some(known) = self.origins.known(Call::of(&submission.id)) {
            grant.origin_opened = known.opened;
        }
        match (grant.origin, self.origin_certainty(grant)) {
            (None, _) | (_, Certainty::Pending) => {}
            (Some(origin), Certainty::Certain) => grant.origin = Some(origin.confirmed()),
            // No replica continues a stream of which neither the build nor the replica is known.
            (Some(_), Certainty::Doubtful) => {
                grant.origin = Some(Origin { replica: NO_REPLICA, build: None });
            }
        }
    }

    /// How certain it is that the origin which a call goes on from began its stream.
    pub fn origin_certainty(&self, grant: &Grant) -> Certainty {
        grant.origin.map_or(Certainty::Certain, |origin| {
            self.certainty(&Known { origin, opened: grant.origin_opened })
        })
    }

    fn certainty(&self, known: &Known) -> Certainty {
        match known.origin.is_confirmed() {
            true => Certainty::Certain,
            false => self.fleet.certainty(known.origin, known.opened),
        }
    }

    /// The refusal of a call that resumes a stream whose origin is not certain.
    pub fn refuse_origin(&self) -> Refusal {
        REFUSAL
    }

    /// The origin of a stream as it is passed on; `None` if it is doubtful.
    fn record_of(&self, call: Call, known: Known) -> Option<Record> {
        let origin = match self.certainty(&known) {
            Certainty::Certain => known.origin.confirmed(),
            Certainty::Pending => known.origin,
            Certainty::Doubtful => return None,
        };
        Some(Record { call, origin })
    }

    /// The one build that a service has had for as long as streams last; `None` if it had several, or if
    /// this gateway's lists are stale. If they are current for a shorter time, the build that was stored
    /// at their start counts for the time before.
    fn only_build(&self, now: Time, service: &str) -> Option<Option<Build>> {
        let since = now - self.stream_lifetime();
        let unbroken_since = self.freshness.unbroken_since(now)?;
        if unbroken_since <= since {
            return self.fleet.only_build(service, since);
        }
        let (read_at, stored) = &self.stored_builds;
        let seen = self.fleet.only_build(service, Time(0))?;
        let mut stored = stored.get(service)?.iter();
        let is_only = seen.is_some() && stored.next().copied() == seen && stored.next().is_none();
        // Before a gap in the lists, another build may have come and gone unseen.
        (is_only && unbroken_since <= *read_at).then_some(seen)
    }

    /// Time for which a caller may go on with a stream: two attempts that each last to the route's
    /// timeout.
    fn stream_lifetime(&self) -> Span {
        self.config.as_ref().map_or(Span(0), |config| Span(config.longest_stream().0 * 2))
    }

    fn copies(&self, now: Time, records: Vec<Record>) -> Copies {
        let mut copies = Copies::new();
        for record in records {
            for holder in self.holders(now, record.call) {
                copies.entry(holder).or_default().push(record);
            }
        }
        copies
    }

    /// Addresses of the gateways that hold the origin of a call's stream.
    fn holders(&self, now: Time, call: Call) -> Vec<String> {
        self.directory.holders(now, call.0, self.copies_of_origins(now))
    }

    /// Gateways that each origin is replicated to.
    fn copies_of_origins(&self, now: Time) -> usize {
        if self.is_small_fleet(now) { SMALL_FLEET_COPIES } else { COPIES }
    }

    fn is_small_fleet(&self, now: Time) -> bool {
        self.directory.live_peers(now) <= SMALL_FLEET
    }
}

/// The origin of a stream of which only the build is known; `None` if its service states none.
fn origin_of(build: Option<Build>) -> Option<Origin> {
    build.map(Origin::of_build)
}
