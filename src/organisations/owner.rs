//! The owner of quotas: grants tokens to daemons as far as daemons support it.

use {
    super::{
        SUPPORT_MS, granted_quota,
        message::{QuotaAnswer, QuotaAsk, TokenAsk, TokenGrant},
    },
    crate::{clock::TimePoint, config::CallQuota},
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Shortest time until a daemon whose call was refused asks again, in milliseconds.
const MIN_ROOM_MS: u64 = 50;
/// Longest time until a daemon whose call was refused asks again, in milliseconds.
const MAX_ROOM_MS: u64 = 1_000;

/// Support of one daemon, which is the right to its part of each quota.
#[derive(Debug, Clone, Copy)]
struct DaemonSupport {
    since: TimePoint,
    until: TimePoint,
}

/// Asks of one process of a daemon.
#[derive(Debug, Clone)]
struct AskSession {
    life: TimePoint,
    seq: u64,
    support: Option<DaemonSupport>,
    /// Tokens that it may still spend, by organisation.
    held: IndexMap<Arc<str>, u32>,
    /// Tokens granted by the latest answer; a part of `held`.
    latest: Vec<(Arc<str>, u32)>,
    /// When it has spent or lost all of them.
    lapses_at: TimePoint,
}

/// Bucket of an organisation.
#[derive(Debug, Clone)]
struct TokenBucket {
    level: f64,
    refilled_at: TimePoint,
}

/// State of an owner. It starts with empty buckets, as an earlier process may have granted tokens that are still valid.
#[derive(Debug, Clone)]
pub struct TokenOwner {
    name: Arc<str>,
    life: TimePoint,
    sessions: IndexMap<Arc<str>, AskSession>,
    buckets: IndexMap<Arc<str>, TokenBucket>,
}

impl TokenOwner {
    /// Creates the state of an owner whose process has started at `now`.
    pub fn new(name: Arc<str>, now: TimePoint) -> Self {
        Self {
            name,
            life: now,
            sessions: IndexMap::new(),
            buckets: IndexMap::new(),
        }
    }

    /// Handles an ask, where `daemons` daemons may each hold a part of every quota. Returns `None` for one that is older than
    /// another of its sender.
    pub fn answer(
        &mut self,
        ask: &QuotaAsk,
        daemons: usize,
        quota_of: impl Fn(&str) -> Option<CallQuota>,
        now: TimePoint,
    ) -> Option<QuotaAnswer> {
        if self
            .sessions
            .get(&ask.from)
            .is_some_and(|session| (ask.life, ask.seq) <= (session.life, session.seq))
        {
            return None;
        }
        self.expire(now);
        self.settle(ask);
        self.support(ask, now);
        let mut grants = Vec::new();
        for tokens in &ask.tokens {
            if let Some(quota) = quota_of(&tokens.organisation) {
                grants.push(self.grant(tokens, daemons, quota, now));
            }
        }
        let session = self.sessions.get_mut(&ask.from)?;
        session.held = ask
            .tokens
            .iter()
            .map(|tokens| (Arc::clone(&tokens.organisation), tokens.unspent))
            .collect();
        for grant in &grants {
            *session.held.entry(Arc::clone(&grant.organisation)).or_default() += grant.granted;
        }
        session.latest = grants
            .iter()
            .map(|grant| (Arc::clone(&grant.organisation), grant.granted))
            .collect();
        session.lapses_at = now.after_ms(SUPPORT_MS);
        Some(QuotaAnswer {
            from: Arc::clone(&self.name),
            life: self.life,
            at: now,
            seq: ask.seq,
            grants,
        })
    }

    /// Forgets the tokens of daemons that have not asked for so long that theirs have lapsed. They count as spent.
    fn expire(&mut self, now: TimePoint) {
        self.sessions.retain(|_, session| {
            let is_supporting = session.support.is_some_and(|support| support.until > now);
            session.lapses_at > now || is_supporting
        });
        for session in self.sessions.values_mut() {
            if session.lapses_at <= now {
                session.held.clear();
                session.latest.clear();
            }
        }
    }

    /// Takes tokens back that the sender will not spend: those that it returns and those of an answer that it did not get and
    /// takes no more.
    fn settle(&mut self, ask: &QuotaAsk) {
        let Some(session) = self.sessions.get_mut(&ask.from) else {
            return;
        };
        if session.life != ask.life {
            // The tokens of the earlier process are lost, which nobody can tell from spent ones.
            return;
        }
        if ask.answered_seq < session.seq {
            for (organisation, granted) in std::mem::take(&mut session.latest) {
                if let Some(held) = session.held.get_mut(&organisation) {
                    *held = held.saturating_sub(granted);
                }
                if let Some(bucket) = self.buckets.get_mut(&organisation) {
                    bucket.level += f64::from(granted);
                }
            }
        }
        for tokens in &ask.tokens {
            let held = session
                .held
                .get(&tokens.organisation)
                .copied()
                .unwrap_or_default();
            let returned = tokens.returned.min(held.saturating_sub(tokens.unspent));
            if let Some(bucket) = self.buckets.get_mut(&tokens.organisation) {
                bucket.level += f64::from(returned);
            }
        }
    }

    /// Notes the support of a sender, which lasts from the time that it repeats.
    fn support(&mut self, ask: &QuotaAsk, now: TimePoint) {
        let earlier = self
            .sessions
            .get(&ask.from)
            .filter(|session| session.life == ask.life);
        let earlier_support = earlier.and_then(|session| session.support);
        let stated = ask.echo.filter(|(life, _)| *life == self.life);
        let stated = stated
            .map(|(_, at)| at.after_ms(SUPPORT_MS))
            .filter(|until| *until > now);
        let continued = earlier_support.filter(|support| support.until > now);
        let support = stated.map(|until| DaemonSupport {
            since: continued.map_or(now, |support| support.since),
            until: continued.map_or(until, |support| support.until.max(until)),
        });
        let session = AskSession {
            life: ask.life,
            seq: ask.seq,
            support: support.or(continued),
            held: IndexMap::new(),
            latest: Vec::new(),
            lapses_at: now,
        };
        self.sessions.insert(Arc::clone(&ask.from), session);
    }

    /// Grants what is wanted as far as the bucket has it. Tokens that are out count as still in the bucket, so what is out
    /// and what is there are together no more than its size.
    fn grant(&mut self, tokens: &TokenAsk, daemons: usize, quota: CallQuota, now: TimePoint) -> TokenGrant {
        let quota = granted_quota(quota);
        let part = 1.0 / daemons.max(1) as f64;
        let bucket = self
            .buckets
            .entry(Arc::clone(&tokens.organisation))
            .or_insert(TokenBucket {
                level: 0.0,
                // Support counts from when it began, so an organisation's first call finds tokens.
                refilled_at: self.life,
            });
        let supports = self.sessions.values().filter_map(|session| session.support);
        let (mut supported_ms, mut supporters) = (0, 0);
        for support in supports.filter(|support| support.until > now) {
            supported_ms += now.ms_since(support.since.max(bucket.refilled_at));
            supporters += 1;
        }
        let rate = quota.rate_per_s * part;
        let out = self
            .sessions
            .values()
            .filter_map(|session| session.held.get(&tokens.organisation));
        let out = f64::from(out.sum::<u32>() + tokens.unspent);
        let size = quota.burst * part * f64::from(supporters);
        bucket.level += supported_ms as f64 / 1e3 * rate;
        bucket.level = bucket.level.min(size - out).max(0.0);
        bucket.refilled_at = now;
        let granted = (bucket.level as u32).min(tokens.wanted);
        bucket.level -= f64::from(granted);
        let missing = 1.0 - bucket.level;
        let room_ms = missing / (rate * f64::from(supporters)).max(f64::MIN_POSITIVE) * 1e3;
        TokenGrant {
            organisation: Arc::clone(&tokens.organisation),
            granted,
            room_ms: if granted < tokens.wanted {
                (room_ms as u64).clamp(MIN_ROOM_MS, MAX_ROOM_MS)
            } else {
                0
            },
        }
    }
}
