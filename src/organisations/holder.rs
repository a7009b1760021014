//! The tokens of one daemon, which spends them and asks an owner for more.

use {
    super::{
        SUPPORT_MS,
        message::{QuotaAnswer, QuotaAsk, TokenAsk},
    },
    crate::clock::TimePoint,
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Time after which the owner is asked again without demand, so that it keeps the support, in milliseconds.
const SUPPORT_INTERVAL_MS: u64 = 300;
/// Time after which an answer counts as lost, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 100;
/// Time over which demand is counted, in milliseconds.
const DEMAND_MS: u64 = 500;

/// Whether a call of an organisation may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It may; a token was spent. Holds the number of the latest ask, with which the token can be given back.
    Run(u64),
    /// The owner has to be asked.
    Ask,
    /// There is no room until then.
    Refuse(TimePoint),
}

/// Tokens of one organisation at this daemon.
#[derive(Debug, Clone, Default)]
struct HeldTokens {
    unspent: u32,
    /// Calls that wait for a token.
    waiting: u32,
    /// Calls that came in the current and the previous period.
    counted: (u32, u32),
    period_ends_at: TimePoint,
    full_until: TimePoint,
}

impl HeldTokens {
    fn count_call(&mut self, now: TimePoint) {
        if now >= self.period_ends_at {
            let previous = if now < self.period_ends_at.after_ms(DEMAND_MS) {
                self.counted.0
            } else {
                0
            };
            self.counted = (0, previous);
            self.period_ends_at = now.after_ms(DEMAND_MS);
        }
        self.counted.0 += 1;
    }

    /// Returns the number of calls in the busier one of the current and the previous period.
    fn demand(&self, now: TimePoint) -> u32 {
        let (current, previous) = self.counted;
        if now < self.period_ends_at {
            current.max(previous)
        } else if now < self.period_ends_at.after_ms(DEMAND_MS) {
            current
        } else {
            0
        }
    }
}

/// Owner that this daemon supports.
#[derive(Debug, Clone)]
struct SupportedOwner {
    name: Arc<str>,
    /// Start of its process and the latest time of its clock, once known.
    echo: Option<(TimePoint, TimePoint)>,
}

/// Tokens of one daemon.
#[derive(Debug)]
pub struct TokenHolder {
    name: Arc<str>,
    life: TimePoint,
    owner: Option<SupportedOwner>,
    /// From when on another owner may be supported: what an earlier one granted by this support has lapsed.
    free_at: TimePoint,
    seq: u64,
    answered_seq: u64,
    asked_at: TimePoint,
    is_pending: bool,
    /// Until when the tokens may be spent.
    valid_until: TimePoint,
    tokens: IndexMap<Arc<str>, HeldTokens>,
}

impl TokenHolder {
    /// Creates the state of a process that has started at `now`. What an earlier one supported has to lapse first.
    pub fn new(name: Arc<str>, now: TimePoint) -> Self {
        Self {
            name,
            life: now,
            owner: None,
            free_at: now.after_ms(2 * SUPPORT_MS),
            seq: 0,
            answered_seq: 0,
            asked_at: TimePoint::default(),
            is_pending: false,
            valid_until: TimePoint::default(),
            tokens: IndexMap::new(),
        }
    }

    /// Decides on a call. `is_waiting` tells whether it has been counted as one that waits.
    pub fn decide(&mut self, organisation: &Arc<str>, is_waiting: bool, now: TimePoint) -> QuotaDecision {
        let is_valid = now < self.valid_until;
        let tokens = self.tokens.entry(Arc::clone(organisation)).or_default();
        if !is_waiting {
            tokens.count_call(now);
        }
        if is_valid && tokens.unspent > 0 {
            tokens.unspent -= 1;
            tokens.waiting -= u32::from(is_waiting).min(tokens.waiting);
            return QuotaDecision::Run(self.seq);
        }
        if now < tokens.full_until {
            tokens.waiting -= u32::from(is_waiting).min(tokens.waiting);
            return QuotaDecision::Refuse(tokens.full_until);
        }
        if !is_waiting {
            tokens.waiting += 1;
        }
        QuotaDecision::Ask
    }

    /// Ends the wait of a call.
    pub fn give_up(&mut self, organisation: &str) {
        if let Some(tokens) = self.tokens.get_mut(organisation) {
            tokens.waiting = tokens.waiting.saturating_sub(1);
        }
    }

    /// Takes a token back of a call that did not run, unless an ask since has told the owner that it is spent.
    pub fn give_back(&mut self, organisation: &str, seq: u64, now: TimePoint) {
        let is_unreported = seq == self.seq && now < self.valid_until;
        if let Some(tokens) = self.tokens.get_mut(organisation).filter(|_| is_unreported) {
            tokens.unspent += 1;
        }
    }

    /// Returns the ask that is due, to the owner that ranks first now.
    pub fn next_ask(&mut self, first: &Arc<str>, now: TimePoint) -> Option<QuotaAsk> {
        if self.owner.as_ref().is_none_or(|owner| owner.name != *first) {
            self.leave_owner();
            if now < self.free_at {
                return None;
            }
            self.owner = Some(SupportedOwner {
                name: Arc::clone(first),
                echo: None,
            });
        }
        let is_lost = now.ms_since(self.asked_at) >= ANSWER_TIMEOUT_MS;
        let wants = self
            .tokens
            .values()
            .any(|tokens| tokens.waiting > 0 && now >= tokens.full_until);
        let is_due = now.ms_since(self.asked_at) >= SUPPORT_INTERVAL_MS;
        if !(is_due || (wants && (!self.is_pending || is_lost))) {
            return None;
        }
        let has_lapsed = now >= self.valid_until;
        let mut asks = Vec::new();
        self.tokens.retain(|organisation, tokens| {
            let demand = tokens.demand(now);
            let kept = if has_lapsed { 0 } else { tokens.unspent.min(demand) };
            let returned = tokens.unspent - kept;
            tokens.unspent = kept;
            let wanted = match tokens.waiting {
                0 => 0,
                waiting => (waiting + demand).saturating_sub(kept),
            };
            if kept + returned + wanted > 0 {
                asks.push(TokenAsk {
                    organisation: Arc::clone(organisation),
                    unspent: kept,
                    returned,
                    wanted,
                });
            }
            let is_idle = now >= tokens.period_ends_at.after_ms(DEMAND_MS) && tokens.waiting == 0;
            kept > 0 || !is_idle
        });
        self.seq += 1;
        self.asked_at = now;
        self.is_pending = true;
        let echo = self.owner.as_ref().and_then(|owner| owner.echo);
        if echo.is_some() {
            // The support that this ask is, and what is granted by it, lapse before then.
            self.free_at = now.after_ms(2 * SUPPORT_MS);
        }
        Some(QuotaAsk {
            from: Arc::clone(&self.name),
            life: self.life,
            seq: self.seq,
            answered_seq: self.answered_seq,
            echo,
            tokens: asks,
        })
    }

    /// Takes the tokens of an answer to the latest ask.
    pub fn receive(&mut self, answer: &QuotaAnswer, now: TimePoint) {
        let Some(owner) = self.owner.as_mut().filter(|owner| owner.name == answer.from) else {
            return;
        };
        if answer.seq != self.seq || !self.is_pending {
            return;
        }
        self.is_pending = false;
        if owner.echo.is_some_and(|(life, _)| life != answer.life) {
            // Another process, which may grant only what the earlier one has not.
            self.leave_owner();
            return;
        }
        owner.echo = Some((answer.life, answer.at));
        self.answered_seq = answer.seq;
        // A grant counts from when it was asked for, as the answer may have waited.
        self.valid_until = self.asked_at.after_ms(SUPPORT_MS);
        for grant in &answer.grants {
            let tokens = self.tokens.entry(Arc::clone(&grant.organisation)).or_default();
            tokens.unspent += grant.granted;
            if grant.room_ms > 0 {
                tokens.full_until = now.after_ms(grant.room_ms);
            }
        }
    }

    fn leave_owner(&mut self) {
        self.owner = None;
        self.is_pending = false;
        self.valid_until = TimePoint::default();
        self.tokens.values_mut().for_each(|tokens| tokens.unspent = 0);
    }
}
