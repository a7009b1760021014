//! The quotas of one daemon: its tokens, and the buckets that it owns, by groups of organisations.

use {
    super::{
        holder::{QuotaDecision, TokenHolder},
        message::{QuotaAnswer, QuotaAsk},
        owner::TokenOwner,
    },
    crate::{clock::TimePoint, config::CallQuota, member::best_ranked},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of groups of organisations, each with an owner of its own, so that no daemon answers the asks of all.
const GROUPS: usize = 8;
/// Time between two choices of the owners, in milliseconds.
const OWNER_CHOICE_INTERVAL_MS: u64 = 250;
/// Time without an answer after which another owner is chosen, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 500;
/// Time for which an owner that did not answer is not chosen, in milliseconds.
const AVOID_MS: u64 = 5_000;

/// Organisations that share an owner.
#[derive(Debug)]
struct OrganisationGroup {
    holder: TokenHolder,
    /// Buckets that this daemon grants from, as far as daemons support it.
    owner: TokenOwner,
    /// Daemon that ranks first; `None` while no other is known.
    first: Option<Arc<str>>,
    /// When the first ask was sent that has had no answer; `None` if there is none.
    silent_since: Option<TimePoint>,
    /// Owner that did not answer, and until when it is not chosen.
    avoided: Option<(Arc<str>, TimePoint)>,
}

/// Quotas of one daemon.
#[derive(Debug)]
pub struct QuotaDesk {
    groups: Vec<OrganisationGroup>,
    next_choice_at: TimePoint,
}

impl QuotaDesk {
    /// Creates the state of a process that has started at `now`.
    pub fn new(name: &Arc<str>, now: TimePoint) -> Self {
        let groups = (0..GROUPS).map(|_| OrganisationGroup {
            holder: TokenHolder::new(Arc::clone(name), now),
            owner: TokenOwner::new(Arc::clone(name), now),
            first: None,
            silent_since: None,
            avoided: None,
        });
        Self {
            groups: groups.collect(),
            next_choice_at: now,
        }
    }

    /// Decides on a call. `is_waiting` tells whether it has been counted as one that waits.
    pub fn decide(&mut self, organisation: &Arc<str>, is_waiting: bool, now: TimePoint) -> QuotaDecision {
        let group = self.group_of(organisation);
        group.holder.decide(organisation, is_waiting, now)
    }

    /// Ends the wait of a call.
    pub fn give_up(&mut self, organisation: &str) {
        self.group_of(organisation).holder.give_up(organisation);
    }

    /// Takes a token back of a call that did not run.
    pub fn give_back(&mut self, organisation: &str, seq: u64, now: TimePoint) {
        let group = self.group_of(organisation);
        group.holder.give_back(organisation, seq, now);
    }

    /// Returns the asks that are due, each with its group and the name of the owner. `names` are the daemons that may own
    /// quotas.
    pub fn next_asks(&mut self, names: &[&str], now: TimePoint) -> Vec<(u8, Arc<str>, QuotaAsk)> {
        if now >= self.next_choice_at {
            self.next_choice_at = now.after_ms(OWNER_CHOICE_INTERVAL_MS);
            for (number, group) in self.groups.iter_mut().enumerate() {
                group.choose_owner(number, names, now);
            }
        }
        let mut asks = Vec::new();
        for (number, group) in self.groups.iter_mut().enumerate() {
            let Some(first) = group.first.clone() else {
                continue;
            };
            if let Some(ask) = group.holder.next_ask(&first, now) {
                group.silent_since.get_or_insert(now);
                asks.push((number as u8, first, ask));
            }
        }
        asks
    }

    /// Answers the ask of a daemon, where `daemons` daemons may each hold a part of every quota.
    pub fn answer(
        &mut self,
        group: u8,
        ask: &QuotaAsk,
        daemons: usize,
        quota_of: impl Fn(&str) -> Option<CallQuota>,
        now: TimePoint,
    ) -> Option<QuotaAnswer> {
        let group = self.groups.get_mut(usize::from(group))?;
        group.owner.answer(ask, daemons, quota_of, now)
    }

    /// Takes the tokens of an answer.
    pub fn receive(&mut self, group: u8, answer: &QuotaAnswer, now: TimePoint) {
        if let Some(group) = self.groups.get_mut(usize::from(group)) {
            group.silent_since = None;
            group.holder.receive(answer, now);
        }
    }

    fn group_of(&mut self, organisation: &str) -> &mut OrganisationGroup {
        let number = xxh3_64(organisation.as_bytes()) % GROUPS as u64;
        &mut self.groups[number as usize]
    }
}

impl OrganisationGroup {
    /// Chooses the daemon that ranks first for the group among those that answer.
    fn choose_owner(&mut self, number: usize, names: &[&str], now: TimePoint) {
        let is_silent = self
            .silent_since
            .is_some_and(|since| now.ms_since(since) >= SILENCE_LIMIT_MS);
        if is_silent {
            self.silent_since = None;
            self.avoided = self.first.take().map(|first| (first, now.after_ms(AVOID_MS)));
        }
        let avoided = self.avoided.as_ref().filter(|(_, until)| now < *until);
        let names = names.iter().copied();
        let names = names.filter(|name| avoided.is_none_or(|(avoided, _)| **avoided != **name));
        let ranked = best_ranked(&format!("quota-{number}"), names, 1);
        self.first = ranked.into_iter().next().map(Arc::from);
    }
}
