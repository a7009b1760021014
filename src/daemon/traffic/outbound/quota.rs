//! Charge of a call to the quota of its organisation.

use {
    super::{CallRefusal, OutboundHandler, RoutedCall},
    crate::{
        call::RefusalReason, clock::TimePoint, daemon::shared::TrafficEvent, organisations::QuotaDecision,
    },
    std::{pin::pin, sync::Arc},
    tokio::time::timeout,
};

/// Longest wait of a call for a token, in milliseconds: some round trips to the owner, one of which may be lost.
const TOKEN_WAIT_MS: u64 = 250;

/// Token that a call has spent.
#[derive(Debug)]
pub(super) struct SpentToken {
    organisation: Arc<str>,
    /// Number of the ask after which it was spent.
    seq: u64,
}

/// Call that is counted as waiting for a token until dropped, as its caller may leave.
struct TokenWait<'a> {
    handler: &'a OutboundHandler,
    organisation: &'a Arc<str>,
    is_counted: bool,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        if self.is_counted {
            let mut quotas = self.handler.shared.quotas.lock();
            quotas.give_up(self.organisation);
        }
    }
}

impl OutboundHandler {
    /// Spends a token of the call's organisation; `None` if that has no quota. Waits for the owner's answer if no token is
    /// here.
    pub(super) async fn charge(&self, call: &mut RoutedCall) -> Result<Option<SpentToken>, CallRefusal> {
        let shared = &self.shared;
        let Some(identity) = call.identity.as_ref() else {
            return Ok(None);
        };
        if identity.organisation.quota.is_none() {
            return Ok(None);
        }
        let organisation = Arc::clone(&identity.organisation.name);
        let wait_until = shared.now().after_ms(TOKEN_WAIT_MS).min(call.deadline);
        let mut wait = TokenWait {
            handler: self,
            organisation: &organisation,
            is_counted: false,
        };
        loop {
            let mut changed = pin!(shared.tokens_changed.notified());
            changed.as_mut().enable();
            let now = shared.now();
            let decision = shared.quotas.lock().decide(&organisation, wait.is_counted, now);
            match decision {
                QuotaDecision::Run(seq) => {
                    wait.is_counted = false;
                    let organisation = Arc::clone(&organisation);
                    return Ok(Some(SpentToken { organisation, seq }));
                }
                QuotaDecision::Refuse(until) => {
                    wait.is_counted = false;
                    call.room_at = until;
                    shared.metrics.calls_over_quota.inc();
                    return Err(CallRefusal::not_run(RefusalReason::OverQuota, &organisation));
                }
                QuotaDecision::Ask => {
                    wait.is_counted = true;
                    shared.report_event(TrafficEvent::TokensWanted);
                }
            }
            if timeout(wait_until.remaining_from(now), changed).await.is_err() {
                let detail = "no answer of the quota's owner";
                return Err(CallRefusal::not_run(RefusalReason::QuotaUnconfirmed, detail));
            }
        }
    }

    /// Gives a token back of a call that did not run.
    pub(super) fn give_back(&self, token: &SpentToken) {
        let now = self.shared.now();
        let mut quotas = self.shared.quotas.lock();
        quotas.give_back(&token.organisation, token.seq, now);
    }

    /// Returns the time until an organisation that is over its quota may call again, in milliseconds.
    pub(super) fn quota_room_ms(&self, call: Option<&RoutedCall>) -> u64 {
        let room_at = call.map_or(TimePoint::default(), |call| call.room_at);
        room_at.ms_since(self.shared.now()).max(1)
    }
}
