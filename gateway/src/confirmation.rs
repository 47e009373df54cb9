//! Confirms, before a stream is resumed, which build began it and which one the chosen replica runs.
//!
//! A replica may have started again with another build under its id and address, and its new entry
//! is listed only later. Unless the gateway has evidence against that, it asks the replica for its
//! start, or waits until later lists show which build it runs.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use hyper::StatusCode;
use hyper::header;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::fleet::Certainty;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::attempt::Call;
use crate::attempt::Failure;
use crate::attempt::Fault;
use crate::channel::Channel;
use crate::clock;
use crate::log::Line;
use crate::origin;
use crate::response;

/// Longest wait for lists that show which build a replica runs: the time in which its entry would be
/// replaced, and two reads of the store.
const MAX_WAIT: Span = Span::secs(3);
/// Time between two looks at what lists have shown.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a replica's report: many round trips between failure domains.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Largest report of a replica, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// What has shown that a connection leads to the listed replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
enum Evidence {
    /// The replica was heard on earlier connections after this one was opened.
    Connection,
    /// The replica stated its start.
    Start,
    /// A later list.
    List,
}

/// What a replica's report says of the start of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
enum Statement {
    /// It is that of the listed incarnation.
    Listed,
    /// It is another one.
    Other,
    /// Nothing.
    Missing,
}

impl Call {
    /// Finds the origin of a stream that goes on in its response and that another gateway has served
    /// so far.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no gateway knows the origin, or if it is doubtful.
    pub(crate) async fn find_origin(&mut self) -> Result<(), Failure> {
        if self.responding && self.grant.route.idempotent {
            let shared = self.shared.clone();
            let resolved = origin::resolve_delegated(&shared, &self.submission, &mut self.grant);
            resolved.await.map_err(Failure::Denied)?;
        }
        self.check_origin().map(|_| ())
    }

    /// Waits until it is certain which build began the stream that the call goes on with.
    ///
    /// # Errors
    ///
    /// Returns a refusal if that stays uncertain.
    pub(crate) async fn confirm_origin(&mut self) -> Result<(), Failure> {
        let end = self.confirmation_end();
        while !self.check_origin()? {
            self.check_stop()?;
            if clock::now() >= end {
                return Err(self.refuse_origin());
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether the origin of the stream is certain.
    ///
    /// # Errors
    ///
    /// Returns a refusal if it is doubtful and stays so.
    fn check_origin(&mut self) -> Result<bool, Failure> {
        let certainty = self.shared.gateway.borrow().origin_certainty(&self.grant);
        match certainty {
            Certainty::Certain => {
                self.grant.origin = self.grant.origin.map(|origin| origin.confirmed());
                Ok(true)
            }
            Certainty::Pending => Ok(false),
            Certainty::Doubtful => Err(self.refuse_origin()),
        }
    }

    /// End of the time in which the stream may wait, at all replicas together.
    fn confirmation_end(&mut self) -> Time {
        let end = clock::now() + MAX_WAIT;
        (*self.confirms_until.get_or_insert(end)).min(self.grant.deadline)
    }

    fn refuse_origin(&self) -> Failure {
        self.shared.metrics.count("doubtful_origins_total", String::new());
        let line = Line::new("origin_doubtful")
            .with("request", String::from_utf8_lossy(&self.submission.id));
        self.shared.log(line);
        Failure::Denied(self.shared.gateway.borrow().refuse_origin())
    }

    /// Waits until it is certain which build began the stream that goes on, and that a connection leads
    /// to the replica that was picked for it, and not to a successor under its address.
    ///
    /// # Errors
    ///
    /// Returns, before anything of the call was sent, a fault if the replica stays uncertain, and a
    /// refusal if the origin does.
    pub(crate) async fn confirm_builds(
        &mut self,
        pick: &Pick,
        mut channel: Channel,
    ) -> Result<Channel, Failure> {
        if !self.shared.gateway.borrow().fleet().states_builds(&self.grant.service) {
            return Ok(channel);
        }
        let key = pick.claim.replica;
        let began = clock::now();
        let end = self.confirmation_end();
        let mut evidence = Evidence::Connection;
        loop {
            let is_replica_certain =
                self.shared.gateway.borrow().fleet().leads_to(key, channel.opened);
            let is_origin_certain = self.check_origin()?;
            if is_replica_certain && is_origin_certain {
                self.log_replica(pick, &evidence.to_string(), began);
                return Ok(channel);
            }
            self.check_stop()?;
            let now = clock::now();
            if now >= end && is_replica_certain {
                return Err(self.refuse_origin());
            }
            if now >= end || channel.is_closed() || !self.may_send(now, pick) {
                self.log_replica(pick, "none", began);
                return Err(self.fail_unsent(pick, Fault::Withdrawn, "build not confirmed"));
            }
            let may_ask = evidence == Evidence::Connection
                && !is_replica_certain
                && pick.engine
                && self.shared.gateway.borrow().fleet().may_state_start(key);
            if may_ask {
                evidence = Evidence::Start;
                match self.ask_start(pick, &mut channel).await {
                    Statement::Other => {
                        self.log_replica(pick, "none", began);
                        return Err(self.fail_unsent(pick, Fault::Withdrawn, "replica restarted"));
                    }
                    Statement::Listed | Statement::Missing => {}
                }
                if !channel.becomes_ready(REPORT_TIMEOUT).await {
                    channel = self.connect(pick).await?;
                }
                continue;
            }
            if !is_replica_certain {
                evidence = Evidence::List;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Asks the replica at the end of a connection for the start of its process.
    async fn ask_start(&self, pick: &Pick, channel: &mut Channel) -> Statement {
        let copies = self.shared.dialect.copies;
        let asked = clock::now();
        let response = channel.send((copies.report_request)(&pick.address, &pick.id));
        let report = tokio::time::timeout(REPORT_TIMEOUT, async {
            let response = response.await.ok()?;
            let status = response.status();
            let is_stream = response
                .headers()
                .get(header::CONTENT_TYPE)
                .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
            if is_stream {
                return None;
            }
            let body = response::collect(&mut response.into_body(), MAX_REPORT_BYTES).await.ok()?;
            Some((status, body))
        });
        let key = pick.claim.replica;
        let statement = match report.await.ok().flatten() {
            Some((StatusCode::MISDIRECTED_REQUEST, _)) => Statement::Other,
            Some((StatusCode::OK, body)) => {
                let statement = self.judge_start(pick, &body, asked);
                if statement == Statement::Missing {
                    self.shared.gateway.borrow_mut().record_unstated_start(key);
                }
                statement
            }
            _ => Statement::Missing,
        };
        let labels = format!("start=\"{statement}\"");
        self.shared.metrics.count("replica_starts_total", labels);
        let line = Line::new("replica_start_asked")
            .with("request", String::from_utf8_lossy(&self.submission.id))
            .with("replica", &pick.id)
            .with("start", statement)
            .with("took_ms", clock::now().since(asked).as_millis());
        self.shared.log(line);
        statement
    }

    fn judge_start(&self, pick: &Pick, report: &Bytes, asked: Time) -> Statement {
        let Some(start_ms) = (self.shared.dialect.copies.parse_start)(report) else {
            return Statement::Missing;
        };
        let mut gateway = self.shared.gateway.borrow_mut();
        match gateway.record_start(pick.claim.replica, start_ms, asked) {
            true => Statement::Listed,
            false => Statement::Other,
        }
    }

    fn log_replica(&self, pick: &Pick, evidence: &str, began: Time) {
        let labels = format!("evidence=\"{evidence}\"");
        self.shared.metrics.count("resumptions_confirmed_total", labels);
        let line = Line::new("resumption_confirmed")
            .with("request", String::from_utf8_lossy(&self.submission.id))
            .with("replica", &pick.id)
            .with("build", pick.build.as_deref().unwrap_or("-"))
            .with("evidence", evidence)
            .with("waited_ms", clock::now().since(began).as_millis());
        self.shared.log(line);
    }
}
