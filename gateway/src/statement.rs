//! Records what replicas state of themselves in the heads of their responses: limits, departures and
//! times without calls.

use hyper::StatusCode;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::limit::Statement;

use crate::attempt::Call;
use crate::brittle;
use crate::clock;
use crate::departure;
use crate::dialect;
use crate::limit;
use crate::log::Line;
use crate::retry_after::Advice;

impl Call {
    /// Records what a response says about the limit of its replica, and logs changes.
    pub(crate) fn record_limit(&self, pick: &Pick, metadata: &dialect::Metadata) {
        if !metadata.sealed && !metadata.not_run {
            return;
        }
        if metadata.limit == Statement::Malformed {
            let line = Line::new("limit_malformed").with("replica", &pick.id);
            self.shared.log(line.with("request", String::from_utf8_lossy(&self.submission.id)));
        }
        let mut gateway = self.shared.gateway.borrow_mut();
        let change = gateway.record_limit(clock::now(), &pick.claim, metadata.limit);
        drop(gateway);
        if let Some(change) = change {
            limit::log_change(&self.shared, &pick.id, "answer", change);
        }
    }

    /// Records whether the replica says that it leaves, or asks for a time without calls. That holds
    /// whichever call the response belongs to.
    pub(crate) fn record_availability(
        &self,
        status: StatusCode,
        metadata: &dialect::Metadata,
        pick: &Pick,
    ) {
        let claim = &pick.claim;
        if metadata.leaving {
            departure::record(&self.shared, &pick.id, claim);
        }
        if metadata.brittle {
            brittle::record(&self.shared, claim);
        } else if metadata.sealed || metadata.not_run {
            self.shared.gateway.borrow_mut().record_sturdy(clock::now(), claim);
        }
        match metadata.advice.with_status(status) {
            Advice::Absent => {}
            Advice::Wait(wait) => {
                self.shared.gateway.borrow_mut().record_cooldown(clock::now(), claim, wait);
                let line = self.replica_line("replica_cooldown", pick);
                self.shared.log(line.with("wait_ms", wait.as_millis()));
                // Calls that wait for a permit of this replica go elsewhere.
                self.shared.replicas_closing.notify_waiters();
            }
            Advice::Malformed => {
                self.shared.log(self.replica_line("retry_after_malformed", pick));
            }
        }
    }

    fn replica_line(&self, event: &'static str, pick: &Pick) -> Line {
        Line::new(event)
            .with("replica", &pick.id)
            .with("request", String::from_utf8_lossy(&self.submission.id))
    }
}
