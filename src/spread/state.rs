//! State machine of the dissemination, without I/O: versions only rise, and each is applied as a whole or not at all. What a
//! store has lost that came back from an older copy stays in force until it is written again.

use {
    super::{
        history::ChangeHistory,
        message::{ConfigReply, ConfigRequest},
    },
    crate::{
        clock::TimePoint,
        config::{CompileError, CompiledTable, ConfigHead, DeltaError, HeadDelta, HeadError, VersionRank},
    },
    indexmap::IndexMap,
    std::{net::SocketAddr, sync::Arc},
    thiserror::Error,
};

/// Time after which a pull without an answer is followed by one from another peer, in milliseconds.
const PULL_TIMEOUT_MS: u64 = 1_000;
/// Time in which a peer that has a newer version begins to send it, in milliseconds. The store is read after it.
const SILENCE_LIMIT_MS: u64 = 700;
/// Time that a peer has for it at least, from the earliest time of a pull, in milliseconds.
const MIN_SILENCE_MS: u64 = 300;
/// Time in which peers deliver a newer version that one of them is sending, or that none says to have, in milliseconds: more
/// than a whole configuration takes over a slow link. The store, which may share that link, is read after it.
const DELIVERY_LIMIT_MS: u64 = 7_000;
/// Time after which a newer version is overdue, in milliseconds: operators are promised that a change is in force within it.
const OVERDUE_MS: u64 = 2_000;
/// Maximum number of peers that are listed as having a newer version; further ones are ignored.
const MAX_SOURCES: usize = 16;

/// Reason why an offered configuration was not applied. The one in force stays.
#[derive(Debug, Error)]
pub enum OfferRefusal {
    /// The peers have not yet reported which version this daemon had applied before its restart.
    #[error("version {offered} is held until the daemon has joined; nothing to do")]
    Joining {
        /// Version that was offered.
        offered: u64,
    },
    /// It is not newer than the one in force.
    #[error("version {offered} is not newer than {present}, which is in force; nothing to do")]
    NotNewer {
        /// Version that was offered.
        offered: u64,
        /// Version in force.
        present: u64,
    },
    /// This daemon had already applied a higher version before its restart.
    #[error("version {offered} is below {floor}, which this daemon had applied before; wait for a newer one")]
    BelowFloor {
        /// Version that was offered.
        offered: u64,
        /// Lowest version that may be applied.
        floor: u64,
    },
    /// The content is corrupt.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// A delta can't be applied to the version in force.
    #[error(transparent)]
    Delta(#[from] DeltaError),
    /// The content breaks a rule.
    #[error(transparent)]
    Compile(#[from] CompileError),
}

impl OfferRefusal {
    /// Returns whether the refusal indicates a fault. That of a version that is not newer than the one in force, or is
    /// held until the daemon has joined, does not; neither does that of a delta to a version which was replaced meanwhile.
    pub fn is_fault(&self) -> bool {
        match self {
            Self::NotNewer { .. } | Self::Joining { .. } => false,
            Self::Delta(error) => !error.is_outdated(),
            _ => true,
        }
    }
}

/// A peer to pull from, with the request.
#[derive(Debug, Clone, PartialEq)]
pub struct PullSource {
    /// Control address of the peer.
    pub from: SocketAddr,
    /// The request.
    pub request: ConfigRequest,
}

/// Newer version that a peer has applied.
#[derive(Debug, Clone, Copy)]
struct PullOffer {
    version: u64,
    /// Earliest time of a pull.
    not_before: TimePoint,
}

/// Newer version that no peer has delivered so far.
#[derive(Debug, Clone, Copy)]
struct AwaitedVersion {
    version: u64,
    heard_at: TimePoint,
    /// When it is read from the store if no peer is sending it; [`TimePoint::FAR_FUTURE`] while none has said to have it.
    silent_until: TimePoint,
    /// When it is read from the store in any case.
    read_at: TimePoint,
    /// Whether [`SpreadState::take_overdue`] has returned it.
    is_reported: bool,
}

/// How far a pull is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PullPhase {
    /// The peer has not answered.
    Asked,
    /// Its reply has begun.
    Arriving,
}

/// When this daemon reads the store for a newer version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadDue {
    /// The time; [`TimePoint::FAR_FUTURE`] if no newer version is known.
    pub at: TimePoint,
    /// Whether a peer said to have the version, so that it is in force elsewhere.
    pub is_in_force_elsewhere: bool,
}

/// Newer version that is not in force in time, and what this daemon does to get it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverdueVersion {
    /// The version.
    pub version: u64,
    /// When this daemon heard of it.
    pub heard_at: TimePoint,
    /// Number of peers that offer a newer version than the one in force.
    pub sources: usize,
    /// Number of those whose reply to a pull is on its way.
    pub pulling: usize,
}

/// Configuration in force, the lowest version that may replace it, and the peers that have a newer one.
#[derive(Debug, Default)]
pub struct SpreadState {
    head: Option<Arc<ConfigHead>>,
    history: ChangeHistory,
    floor: u64,
    /// Newest version that was offered or that a peer reported, whether it could be applied or not.
    newest: u64,
    has_joined: bool,
    /// Newest head that was offered before the daemon had joined.
    pending_head: Option<ConfigHead>,
    sources: IndexMap<SocketAddr, PullOffer>,
    /// Peers that were asked and have not sent their whole reply. A second copy would share a slow link with the first.
    pulling: IndexMap<SocketAddr, PullPhase>,
    pull_deadline: Option<TimePoint>,
    needs_whole: bool,
    awaited: Option<AwaitedVersion>,
    /// When the version in force was heard of, if that was before it was offered.
    heard_at: Option<TimePoint>,
    /// Newest version that was awaited when the store was read: if it is not in force, it can't be used here.
    read_version: u64,
}

impl SpreadState {
    /// Returns the head in force.
    pub fn head(&self) -> Option<&Arc<ConfigHead>> {
        self.head.as_ref()
    }

    /// Returns the version in force, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.version)
    }

    /// Raises the lowest version that may be applied.
    pub fn raise_floor(&mut self, version: u64) {
        self.floor = self.floor.max(version);
    }

    /// Returns the lowest version that may be applied.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns the newest version that this daemon has heard of. It is above [`Self::version`] while that version is on
    /// its way, after it was refused, and while the head in force is behind accepted tables that can't be used.
    pub fn newest_version(&self) -> u64 {
        let behind = self.head.as_ref().filter(|head| head.tail.is_behind);
        let unusable = behind.map_or(0, |head| head.version + 1);
        self.newest.max(self.floor).max(unusable)
    }

    /// Records a version that others have heard of.
    pub fn add_announced(&mut self, version: u64) {
        self.newest = self.newest.max(version);
    }

    /// Returns whether the daemon has joined; offers are held until then.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Ends joining, once peers have reported the version that this daemon had applied or none can. Offers the newest
    /// head that was held.
    pub fn join(&mut self) -> Option<Result<CompiledTable, OfferRefusal>> {
        self.has_joined = true;
        self.pending_head.take().map(|head| self.offer(head))
    }

    /// Offers a head read from the store. That is the newest accepted one, so it also ends joining. Only a head of peers
    /// from before the store came back from an older copy is offered before it.
    pub fn offer_stored(&mut self, head: ConfigHead) -> Result<CompiledTable, OfferRefusal> {
        self.has_joined = true;
        let held = self.pending_head.take();
        let held = held.filter(|held| {
            VersionRank::of(head.version).generation > VersionRank::of(held.version).generation
        });
        let held_offer = held.map(|held| self.offer(held));
        match (self.offer(head), held_offer) {
            (Err(_), Some(Ok(table))) => Ok(table),
            (offer, _) => offer,
        }
    }

    /// Returns when this daemon reads the store itself, as no peer delivers a newer version that it knows of.
    pub fn read_due(&mut self, now: TimePoint) -> ReadDue {
        let (present, newest) = (self.version(), self.newest_version());
        if newest <= present.max(self.read_version) {
            self.awaited = None;
            return ReadDue {
                at: TimePoint::FAR_FUTURE,
                is_in_force_elsewhere: false,
            };
        }
        let offers = self.sources.values().filter(|offer| offer.version > present);
        let pull_at = offers.map(|offer| offer.not_before).min();
        let awaited = self.awaited.get_or_insert(AwaitedVersion {
            version: newest,
            heard_at: now,
            silent_until: TimePoint::FAR_FUTURE,
            read_at: now.after_ms(DELIVERY_LIMIT_MS),
            is_reported: false,
        });
        if let Some(pull_at) = pull_at
            && awaited.silent_until == TimePoint::FAR_FUTURE
        {
            let answered_by = pull_at.after_ms(MIN_SILENCE_MS);
            awaited.silent_until = now.after_ms(SILENCE_LIMIT_MS).max(answered_by);
        }
        let is_arriving = self.pulling.values().any(|phase| *phase == PullPhase::Arriving);
        let silent_until = if is_arriving {
            TimePoint::FAR_FUTURE
        } else {
            awaited.silent_until
        };
        ReadDue {
            at: awaited.read_at.min(silent_until),
            is_in_force_elsewhere: awaited.silent_until != TimePoint::FAR_FUTURE,
        }
    }

    /// Returns when this daemon heard that the version in force, or a later one, exists; `None` if it was offered at once.
    pub fn heard_at(&self) -> Option<TimePoint> {
        self.heard_at
    }

    /// Returns the newer version that is awaited for longer than operators are promised, once.
    pub fn take_overdue(&mut self, now: TimePoint) -> Option<OverdueVersion> {
        let awaited = self.awaited.as_mut()?;
        if awaited.is_reported || now.ms_since(awaited.heard_at) < OVERDUE_MS {
            return None;
        }
        awaited.is_reported = true;
        Some(OverdueVersion {
            version: awaited.version,
            heard_at: awaited.heard_at,
            sources: self.sources.len(),
            pulling: self.pulling.len(),
        })
    }

    /// Records a read of the store that showed every version accepted up to `confirmed_at`.
    pub fn finish_read(&mut self, confirmed_at: TimePoint) {
        if let Some(awaited) = self.awaited.take_if(|awaited| awaited.heard_at <= confirmed_at) {
            self.read_version = awaited.version;
        }
    }

    /// Puts an offered head in force and returns its compiled table, or refuses the whole head. A head offered before
    /// the daemon has joined is held.
    pub fn offer(&mut self, head: ConfigHead) -> Result<CompiledTable, OfferRefusal> {
        self.newest = self.newest.max(head.version);
        if !self.has_joined {
            return Err(self.hold(head));
        }
        let present = self.version();
        if head.version <= present {
            return Err(OfferRefusal::NotNewer {
                offered: head.version,
                present,
            });
        }
        if head.version < self.floor {
            return Err(OfferRefusal::BelowFloor {
                offered: head.version,
                floor: self.floor,
            });
        }
        head.check_digest()?;
        let head = match &self.head {
            // Each daemon that restores the same parts gets the same head.
            Some(present) => head.with_lost_parts_of(present)?,
            None => head,
        };
        let table = CompiledTable::compile(&head)?;
        self.floor = head.version;
        self.newest = self.newest.max(head.version);
        self.heard_at = self.awaited.take().map(|awaited| awaited.heard_at);
        if let Some(base) = &self.head {
            self.history.record(base, &head);
        }
        self.head = Some(Arc::new(head));
        Ok(table)
    }

    /// Holds a head until the daemon has joined, unless a newer one is held.
    fn hold(&mut self, head: ConfigHead) -> OfferRefusal {
        let offered = head.version;
        if self
            .pending_head
            .as_ref()
            .is_none_or(|pending| pending.version < offered)
        {
            self.pending_head = Some(head);
        }
        OfferRefusal::Joining { offered }
    }

    /// Answers a peer's pull from the head in force: with a delta if one can be computed and the whole configuration is
    /// not requested. Heads without stamps per entry have deltas only within the history of this process.
    pub fn answer_pull(&self, request: &ConfigRequest) -> ConfigReply {
        let (base, digest) = (request.version, request.digest);
        let Some(head) = self.head.as_ref().filter(|head| head.version > base) else {
            return ConfigReply::Nothing;
        };
        if request.whole {
            return ConfigReply::Whole(Box::new((**head).clone()));
        }
        let delta = HeadDelta::between(base, digest, head).or_else(|| self.history.delta(base, digest, head));
        match delta {
            Some(delta) => ConfigReply::Delta(Box::new(delta)),
            None => ConfigReply::Whole(Box::new((**head).clone())),
        }
    }

    /// Handles the reply to a pull and offers its head. Returns `None` if the peer has nothing newer.
    pub fn finish_pull(
        &mut self,
        from: SocketAddr,
        reply: ConfigReply,
    ) -> Option<Result<CompiledTable, OfferRefusal>> {
        self.end_pull(from);
        match reply {
            ConfigReply::Nothing => None,
            ConfigReply::Whole(head) => {
                self.needs_whole = false;
                Some(self.offer(*head))
            }
            ConfigReply::Delta(delta) => {
                let base = self.head.clone().unwrap_or_default();
                match delta.apply(&base) {
                    Ok(head) => Some(self.offer(head)),
                    Err(error) => {
                        // This peer remains a source. A delta that does not fit is followed by the whole configuration.
                        self.needs_whole |= !error.is_outdated();
                        let offer = PullOffer {
                            version: delta.version,
                            not_before: TimePoint::default(),
                        };
                        self.sources.insert(from, offer);
                        Some(Err(error.into()))
                    }
                }
            }
        }
    }

    /// Records that the reply to a pull has begun.
    pub fn begin_reply(&mut self, from: SocketAddr) {
        if let Some(phase) = self.pulling.get_mut(&from) {
            *phase = PullPhase::Arriving;
        }
    }

    /// Ends a failed pull and drops its peer from the sources.
    pub fn fail_pull(&mut self, from: SocketAddr) {
        self.end_pull(from);
    }

    fn end_pull(&mut self, from: SocketAddr) {
        self.pull_deadline = None;
        self.pulling.swap_remove(&from);
        self.sources.shift_remove(&from);
    }

    /// Adds a peer with a newer version, to be pulled at `not_before` at the earliest; if the peer is listed already,
    /// the earlier time applies. The delay avoids pulling a version that is about to arrive in a cheaper way.
    pub fn add_source(&mut self, from: SocketAddr, version: u64, not_before: TimePoint) {
        self.newest = self.newest.max(version);
        let known = self.sources.get(&from).map(|known| known.not_before);
        if known.is_some() || self.sources.len() < MAX_SOURCES {
            let not_before = known.map_or(not_before, |known| known.min(not_before));
            self.sources.insert(from, PullOffer { version, not_before });
        }
    }

    /// Starts a pull from the source with the newest version among those that are due, unless another pull has started
    /// within [`PULL_TIMEOUT_MS`]. It ends with [`Self::finish_pull`] or [`Self::fail_pull`]; until then this source is
    /// not pulled again.
    pub fn next_pull(&mut self, now: TimePoint) -> Option<PullSource> {
        if self.pull_deadline.is_some_and(|deadline| deadline > now) {
            return None;
        }
        let version = self.version();
        self.sources.retain(|_, offer| offer.version > version);
        let due = self.sources.iter();
        let due = due.filter(|(from, offer)| offer.not_before <= now && !self.pulling.contains_key(*from));
        let (from, _) = due.max_by_key(|(_, offer)| offer.version)?;
        let from = *from;
        self.pulling.insert(from, PullPhase::Asked);
        self.pull_deadline = Some(now.after_ms(PULL_TIMEOUT_MS));
        let digest = self.head.as_ref().map_or(0, |head| head.digest);
        Some(PullSource {
            from,
            request: ConfigRequest {
                version,
                digest,
                whole: self.needs_whole,
            },
        })
    }
}
