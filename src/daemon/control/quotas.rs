//! Quotas of organisations: asks owners for tokens, and grants those of which this daemon is the owner.

use {
    super::ControlState,
    crate::{
        clock::TimePoint,
        member::{MemberStatus, ProbeKind},
        organisations::{QuotaAnswer, QuotaAsk},
    },
    std::{net::SocketAddr, sync::Arc},
};

impl ControlState {
    /// Sends the asks for tokens that are due.
    pub(super) fn tick_quotas(&mut self, now: TimePoint) {
        if !self.table.as_ref().is_some_and(|table| table.has_quotas()) {
            return;
        }
        let asks = {
            let names = self.members.present().map(|record| &*record.name);
            let names: Vec<&str> = names.collect();
            self.shared.quotas.lock().next_asks(&names, now)
        };
        for (group, owner, ask) in asks {
            if owner == self.shared.settings.name {
                if let Some(answer) = self.grant_tokens(group, &ask, now) {
                    self.take_tokens(group, &answer, now);
                }
                continue;
            }
            let record = self.members.present().find(|record| record.name == owner);
            if let Some(control) = record.map(|record| record.control) {
                self.send_plain(control, ProbeKind::QuotaAsk { group, ask }, now);
            }
        }
    }

    /// Answers the ask of another daemon.
    pub(super) fn answer_quota_ask(&mut self, from: SocketAddr, group: u8, ask: &QuotaAsk, now: TimePoint) {
        if let Some(answer) = self.grant_tokens(group, ask, now) {
            self.send_plain(from, ProbeKind::QuotaAnswer { group, answer }, now);
        }
    }

    /// Takes the tokens of an answer, and wakes the calls that wait for them.
    pub(super) fn take_tokens(&mut self, group: u8, answer: &QuotaAnswer, now: TimePoint) {
        self.shared.quotas.lock().receive(group, answer, now);
        self.shared.tokens_changed.notify_waiters();
    }

    fn grant_tokens(&mut self, group: u8, ask: &QuotaAsk, now: TimePoint) -> Option<QuotaAnswer> {
        let table = Arc::clone(self.table.as_ref()?);
        // A dead daemon may live beyond a cut, and hold its part there.
        let others = self.members.others();
        let daemons = 1 + others
            .filter(|record| record.status != MemberStatus::Left)
            .count();
        let mut quotas = self.shared.quotas.lock();
        quotas.answer(group, ask, daemons, |name| table.quota(name), now)
    }
}
