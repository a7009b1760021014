//! The pure state of the spread: versions only rise and are taken over whole or not at all.

use {
    super::message::{ConfigReply, ConfigRequest},
    crate::{
        clock::TimePoint,
        config::{CompileError, CompiledTable, ConfigHead, DeltaError, HeadError},
    },
    indexmap::IndexMap,
    std::{net::SocketAddr, sync::Arc},
    thiserror::Error,
};

/// Time after which a pull without an answer is tried elsewhere, in milliseconds.
const PULL_TIMEOUT_MS: u64 = 1_000;
/// Most peers remembered as having a newer version.
const MAX_SOURCES: usize = 16;

/// Why an offered configuration was not taken over. The last good one stays in force.
#[derive(Debug, Error)]
pub enum OfferRefusal {
    /// The daemon has not yet learnt from its peers what it had applied before.
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
    /// The content is garbled.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// A delta does not fit.
    #[error(transparent)]
    Delta(#[from] DeltaError),
    /// The content breaks a rule.
    #[error(transparent)]
    Compile(#[from] CompileError),
}

impl OfferRefusal {
    /// Tells whether the refusal points at a fault, other than an old or doubled update.
    pub fn is_fault(&self) -> bool {
        !matches!(self, Self::NotNewer { .. } | Self::Joining { .. })
    }
}

/// A peer to pull from.
#[derive(Debug, Clone, PartialEq)]
pub struct PullSource {
    /// Control address of the peer.
    pub from: SocketAddr,
    /// What to ask it.
    pub request: ConfigRequest,
}

/// A newer version that a peer has.
#[derive(Debug, Clone, Copy)]
struct PullOffer {
    version: u64,
    /// When it may be pulled.
    not_before: TimePoint,
}

/// The configuration in force and where a newer one may be had.
#[derive(Debug, Default)]
pub struct SpreadState {
    head: Option<Arc<ConfigHead>>,
    floor: u64,
    has_joined: bool,
    /// The newest head offered before the daemon had joined.
    pending_head: Option<ConfigHead>,
    sources: IndexMap<SocketAddr, PullOffer>,
    pull_deadline: Option<TimePoint>,
    needs_whole: bool,
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

    /// Tells whether the daemon has joined, so that offers are taken over at once.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Ends joining: peers have told which version this daemon had applied, or nobody can. Takes over the newest
    /// head that was held.
    pub fn join(&mut self) -> Option<Result<CompiledTable, OfferRefusal>> {
        self.has_joined = true;
        self.pending_head.take().map(|head| self.offer(head))
    }

    /// Takes over a head that the store answered. It is the newest accepted one, so joining needs no more.
    pub fn offer_stored(&mut self, head: ConfigHead) -> Result<CompiledTable, OfferRefusal> {
        self.has_joined = true;
        self.pending_head = None;
        self.offer(head)
    }

    /// Takes over an offered head whole, or refuses it whole.
    pub fn offer(&mut self, head: ConfigHead) -> Result<CompiledTable, OfferRefusal> {
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
        let table = CompiledTable::compile(&head)?;
        self.floor = head.version;
        self.head = Some(Arc::new(head));
        Ok(table)
    }

    fn hold(&mut self, head: ConfigHead) -> OfferRefusal {
        let offered = head.version;
        if self
            .pending_head
            .as_ref()
            .is_none_or(|pending_head| pending_head.version < offered)
        {
            self.pending_head = Some(head);
        }
        OfferRefusal::Joining { offered }
    }

    /// Takes in the answer to a pull.
    pub fn finish_pull(
        &mut self,
        from: SocketAddr,
        reply: ConfigReply,
    ) -> Option<Result<CompiledTable, OfferRefusal>> {
        self.pull_deadline = None;
        self.sources.shift_remove(&from);
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
                        // The peer is asked once more, for the whole value.
                        self.needs_whole = true;
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

    /// Takes note of a pull that failed.
    pub fn fail_pull(&mut self, from: SocketAddr) {
        self.pull_deadline = None;
        self.sources.shift_remove(&from);
    }

    /// Takes note of a peer with a newer version, which may be pulled from it since `not_before`: a version that is about to
    /// arrive by a cheaper way is not pulled at once.
    pub fn add_source(&mut self, from: SocketAddr, version: u64, not_before: TimePoint) {
        let known = self.sources.get(&from).map(|known| known.not_before);
        if known.is_some() || self.sources.len() < MAX_SOURCES {
            let not_before = known.map_or(not_before, |known| known.min(not_before));
            self.sources.insert(from, PullOffer { version, not_before });
        }
    }

    /// Starts a pull if a peer has something newer and no pull is under way.
    pub fn next_pull(&mut self, now: TimePoint) -> Option<PullSource> {
        if self.pull_deadline.is_some_and(|until| until > now) {
            return None;
        }
        let version = self.version();
        self.sources.retain(|_, offer| offer.version > version);
        let due = self.sources.iter().filter(|(_, offer)| offer.not_before <= now);
        let (from, _) = due.max_by_key(|(_, offer)| offer.version)?;
        let from = *from;
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
