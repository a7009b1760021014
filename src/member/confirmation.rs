//! Confirmation of the configuration: since when this daemon can't have missed an accepted version.
//!
//! It rests on a read of the store. The leading daemon of each data centre reads the store continuously; the others ask
//! it how old its confirmation is. Ages are exchanged rather than times, as clocks differ. A daemon that gets no
//! confirmation reads the store itself, so one daemon that reaches the store is enough for the mesh.

use {
    crate::{clock::TimePoint, macros::value_type},
    indexmap::IndexSet,
    rand::{RngExt, rngs::SmallRng},
    std::net::SocketAddr,
};

/// Time for which a confirmation lasts, in milliseconds: that from the acknowledgement of a change until it must be in
/// force. So a daemon that has missed a change never takes its table for the newest one after that time.
pub const CONFIRMATION_TTL_MS: u64 = 2_000;
/// Longest wait of a watch by a leading daemon, in milliseconds. Each end of a wait confirms, and costs a call.
pub const LEAD_WAIT_MS: u64 = 1_000;
/// Time from the moment at which a leading daemon's next read is expected to end until it is asked, in milliseconds.
const INQUIRY_DELAY_MS: u64 = 200;
/// Shortest time between two inquiries while they are answered, in milliseconds.
const MIN_INQUIRY_INTERVAL_MS: u64 = 300;
/// Time between two looks for a daemon to ask, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 1_000;
/// Time after which the next daemon is asked, in milliseconds.
const INQUIRY_TIMEOUT_MS: u64 = 200;
/// The same once the confirmation has expired for long.
const LATE_INQUIRY_TIMEOUT_MS: u64 = 600;
/// Time after which an answer to an inquiry is ignored, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 3_000;
/// Oldest confirmation that ends the search for a better one, in milliseconds: as old as that of a leading daemon gets.
const USEFUL_AGE_MS: u64 = LEAD_WAIT_MS + 300;
/// Age from which a daemon reads the store itself, in milliseconds: more than in a calm mesh, and less than
/// [`CONFIRMATION_TTL_MS`], so that the first takeovers come in time.
const TAKEOVER_AGE_MS: u64 = 1_500;
/// Time in which a daemon that watches the store reads it from that age on, in milliseconds, as its watch is paid for
/// already.
const WATCHER_TAKEOVER_INTERVAL_MS: u64 = 200;
/// Time by which each of the daemons that rank next waits for the one before it, in milliseconds.
const REPLACEMENT_STAGGER_MS: u64 = 100;
/// Time over which daemons spread reads of a version that is in force elsewhere and that no peer sends them, in milliseconds:
/// few at a time lack it, and all of it is late soon.
const AWAITED_READ_SPREAD_MS: u64 = 300;
/// Time for which other daemons leave it to these, in milliseconds.
const FIRST_TAKEOVER_DELAY_MS: u64 = 300;
/// Rate of the first attempts of all daemons together, one of each, in calls per second.
const FIRST_TAKEOVERS_PER_S: u64 = 100;
/// Rate of their later attempts, in calls per second.
const TAKEOVERS_PER_S: u64 = 8;
/// Shortest mean time between two attempts of a daemon that does not watch the store, in milliseconds.
const MIN_TAKEOVER_INTERVAL_MS: u64 = 1_000;
/// Number of daemons that are told of a confirmation after they asked for it in vain.
const MAX_WAITING: usize = 64;
/// Time after an attempt in which the next one does not count as the first, in milliseconds.
const TAKEOVER_MEMORY_MS: u64 = 10_000;
/// Time after which daemons that were asked in vain are asked again, in milliseconds.
const FIRST_TURN_MS: u64 = 5_000;

/// How a daemon watches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchMode {
    /// Not at all.
    Off,
    /// With long waits, to get changes also if the leading daemon does not.
    Standby,
    /// With waits of at most [`LEAD_WAIT_MS`], after a first one that is answered at once.
    Leading {
        /// When it began, or when this process continued after a suspension.
        since: TimePoint,
    },
}

value_type! {
    /// What a daemon knows about the newest accepted version.
    pub struct KnownVersion {
        /// Newest version that it has heard of.
        pub version: u64,
        /// How long ago, in milliseconds, a read of the store began or ended that showed no newer one.
        pub age_ms: u64,
        /// Control address of the daemon that made the read.
        pub reader: SocketAddr,
    }
}

/// Inquiry without an answer so far.
#[derive(Debug, Clone, Copy)]
struct PendingInquiry {
    seq: u64,
    sent_at: TimePoint,
    expires_at: TimePoint,
}

/// Whether this daemon leads although others rank higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TakeoverPhase {
    /// Other daemons confirm.
    Idle,
    /// No one does: leads from this time on.
    DueAt(TimePoint),
    /// Leads until another daemon does.
    Leading,
}

/// Confirmation of the configuration at one daemon.
#[derive(Debug)]
pub(super) struct ConfirmationState {
    own: SocketAddr,
    confirmed_at: TimePoint,
    /// When the latest call or inquiry was sent that had a useful answer.
    heard_at: TimePoint,
    /// Control address of the daemon whose read of the store it rests on.
    reader: Option<SocketAddr>,
    newest_version: u64,
    inquiries: Vec<PendingInquiry>,
    /// Daemons that asked for a recent confirmation in vain.
    waiting: IndexSet<SocketAddr>,
    next_inquiry_at: TimePoint,
    /// When the daemons that were asked since the last useful answer have had the time to answer; `None` if none was.
    search_fails_at: Option<TimePoint>,
    /// Daemon that has offered its confirmation, to be asked next.
    offered_by: Option<SocketAddr>,
    /// Daemon that was asked last.
    asked: Option<SocketAddr>,
    /// Daemons that were asked in vain.
    unhelpful: IndexSet<SocketAddr>,
    /// When these are asked again.
    first_turn_at: TimePoint,
    takeover: TakeoverPhase,
    /// From when on an attempt to take over counts as the first one.
    first_takeover_at: TimePoint,
    /// When this daemon takes over although others confirm.
    read_due_at: TimePoint,
    /// Whether that is for a version that is in force elsewhere.
    is_read_urgent: bool,
    /// When this process started or continued after a suspension; others had no time to confirm before.
    resumed_at: TimePoint,
    mode: WatchMode,
}

impl ConfirmationState {
    pub(super) fn new(own: SocketAddr, now: TimePoint) -> Self {
        Self {
            own,
            confirmed_at: TimePoint::default(),
            heard_at: TimePoint::default(),
            reader: None,
            newest_version: 0,
            inquiries: Vec::new(),
            waiting: IndexSet::new(),
            next_inquiry_at: now,
            search_fails_at: None,
            offered_by: None,
            asked: None,
            unhelpful: IndexSet::new(),
            first_turn_at: TimePoint::FAR_FUTURE,
            takeover: TakeoverPhase::Idle,
            first_takeover_at: now,
            read_due_at: TimePoint::FAR_FUTURE,
            is_read_urgent: false,
            resumed_at: now,
            mode: WatchMode::Off,
        }
    }

    pub(super) fn confirmed_at(&self) -> TimePoint {
        self.confirmed_at
    }

    /// Returns whether anything was heard since this process started or continued after a suspension.
    pub(super) fn has_heard_since_resume(&self) -> bool {
        self.heard_at >= self.resumed_at
    }

    pub(super) fn reader(&self) -> Option<SocketAddr> {
        self.reader
    }

    /// Returns whether a daemon was asked in vain lately.
    pub(super) fn is_unhelpful(&self, peer: SocketAddr) -> bool {
        self.unhelpful.contains(&peer)
    }

    /// Returns whether this daemon leads although others rank higher.
    pub(super) fn has_taken_over(&self) -> bool {
        self.takeover == TakeoverPhase::Leading
    }

    /// Notes a confirmation that was not asked for. It may have waited in the socket, so it confirms nothing; its
    /// sender is asked at once if there is no better one.
    pub(super) fn note_offer(&mut self, from: SocketAddr, now: TimePoint) {
        if now.ms_since(self.confirmed_at) > USEFUL_AGE_MS {
            self.offered_by = Some(from);
            self.next_inquiry_at = now;
        }
    }

    /// Returns the daemon that has offered its confirmation, once.
    pub(super) fn take_offer(&mut self) -> Option<SocketAddr> {
        self.offered_by.take()
    }

    /// Starts anew after a suspension: an inquiry and, at a leading daemon, a read of the store are due at once.
    pub(super) fn resume(&mut self, now: TimePoint) {
        self.resumed_at = now;
        self.next_inquiry_at = now;
        if matches!(self.mode, WatchMode::Leading { .. }) {
            self.mode = WatchMode::Leading { since: now };
        }
    }

    /// Makes an inquiry due, for instance when the first peer becomes known.
    pub(super) fn inquire_at(&mut self, now: TimePoint) {
        self.next_inquiry_at = self.next_inquiry_at.min(now);
    }

    /// Sets the newest version that this daemon has heard of.
    pub(super) fn set_newest_version(&mut self, version: u64) {
        self.newest_version = self.newest_version.max(version);
    }

    /// Sets when this daemon takes over although others confirm, and whether it then does so without regard to the pace.
    pub(super) fn set_read_due_at(&mut self, due_at: TimePoint, is_urgent: bool) {
        self.read_due_at = due_at;
        self.is_read_urgent = is_urgent;
    }

    /// Returns what this daemon can tell others; `None` before its first confirmation.
    pub(super) fn known(&self, now: TimePoint) -> Option<KnownVersion> {
        Some(KnownVersion {
            version: self.newest_version,
            // Both times are rounded down, so the age may be one millisecond more.
            age_ms: now.ms_since(self.confirmed_at) + 1,
            reader: self.reader?,
        })
    }

    /// Notes who gets an answer that may be of no use.
    pub(super) fn note_asker(&mut self, from: SocketAddr, now: TimePoint) {
        if now.ms_since(self.confirmed_at) > USEFUL_AGE_MS && self.waiting.len() < MAX_WAITING {
            self.waiting.insert(from);
        }
    }

    /// Returns the daemons that asked in vain, once there is a recent confirmation.
    pub(super) fn take_waiting(&mut self, now: TimePoint) -> IndexSet<SocketAddr> {
        if now.ms_since(self.confirmed_at) > USEFUL_AGE_MS {
            return IndexSet::new();
        }
        std::mem::take(&mut self.waiting)
    }

    /// Records a read of the store by this daemon that showed every version accepted up to `confirmed_at`.
    pub(super) fn confirm_read(&mut self, confirmed_at: TimePoint) {
        self.learn(confirmed_at, self.own);
        self.heard_at = self.heard_at.max(confirmed_at);
    }

    /// Records a failed read of the store. It ends a takeover of a daemon that does not watch the store otherwise.
    pub(super) fn fail_read(
        &mut self,
        role: WatchRole,
        now: TimePoint,
        pace: TakeoverPace,
        rng: &mut SmallRng,
    ) {
        if self.takeover == TakeoverPhase::Leading && role != WatchRole::Watcher {
            let interval_ms = pace.interval_ms(role);
            self.takeover =
                TakeoverPhase::DueAt(now.after_ms(interval_ms / 2 + rng.random_range(0..=interval_ms)));
        }
    }

    /// Returns whether an inquiry is due.
    pub(super) fn is_inquiry_due(&self, now: TimePoint) -> bool {
        now >= self.next_inquiry_at
    }

    /// Returns whether this daemon's own reads confirm.
    pub(super) fn reads_itself(&self, now: TimePoint) -> bool {
        self.reader == Some(self.own) && now.ms_since(self.confirmed_at) <= USEFUL_AGE_MS
    }

    /// Notes that the daemon that was asked last can't help if the latest inquiry had no useful answer.
    pub(super) fn next_turn(&mut self, now: TimePoint) {
        self.inquiries.retain(|inquiry| inquiry.expires_at > now);
        if now >= self.first_turn_at {
            self.unhelpful.clear();
            self.first_turn_at = TimePoint::FAR_FUTURE;
        } else if let Some(asked) = self.asked.filter(|_| self.search_fails_at.is_some()) {
            self.unhelpful.insert(asked);
            self.first_turn_at = self.first_turn_at.min(now.after_ms(FIRST_TURN_MS));
        }
    }

    /// Records that an inquiry was sent to a daemon, or that nobody could be asked.
    pub(super) fn start_inquiry(&mut self, sent: Option<(SocketAddr, u64)>, now: TimePoint) {
        self.asked = sent.map(|(peer, _)| peer);
        let Some((_, seq)) = sent else {
            self.next_inquiry_at = now.after_ms(SEARCH_INTERVAL_MS);
            return;
        };
        self.search_fails_at
            .get_or_insert(now.after_ms(INQUIRY_TIMEOUT_MS));
        self.next_inquiry_at = now.after_ms(self.retry_ms(now));
        self.inquiries.push(PendingInquiry {
            seq,
            sent_at: now,
            expires_at: now.after_ms(ANSWER_TIMEOUT_MS),
        });
    }

    /// Handles an answer. It states an age, so it confirms the time that lies as long before the inquiry: an answer
    /// that waited in the socket of a suspended daemon confirms nothing later. Returns the newest version that it
    /// names, or `None` if nobody was asked.
    pub(super) fn finish_inquiry(&mut self, seq: u64, known: &KnownVersion, now: TimePoint) -> Option<u64> {
        let at = self.inquiries.iter().position(|inquiry| inquiry.seq == seq)?;
        let inquiry = self.inquiries.swap_remove(at);
        self.learn(inquiry.sent_at.before_ms(known.age_ms), known.reader);
        let is_recent = known.age_ms <= USEFUL_AGE_MS && now.ms_since(self.confirmed_at) <= USEFUL_AGE_MS;
        if is_recent && inquiry.sent_at >= self.resumed_at {
            self.heard_at = self.heard_at.max(inquiry.sent_at);
            self.search_fails_at = None;
            let next_read_at = self.confirmed_at.after_ms(LEAD_WAIT_MS);
            let earliest = inquiry.sent_at.after_ms(MIN_INQUIRY_INTERVAL_MS);
            self.next_inquiry_at = next_read_at.after_ms(INQUIRY_DELAY_MS).max(earliest);
        }
        Some(known.version)
    }

    /// Ends a takeover, as `known` shows that another daemon leads. Of two takeovers, the one with the lower address
    /// lasts. A slow store confirms nothing recent: there it shows the same if `known` is newer than the own read.
    pub(super) fn yield_to(&mut self, known: &KnownVersion, is_reader_first: bool, had_read_itself: bool) {
        let is_newer = had_read_itself && self.reader == Some(known.reader);
        let is_useful = (known.age_ms <= USEFUL_AGE_MS || is_newer) && known.reader != self.own;
        if is_useful
            && self.takeover == TakeoverPhase::Leading
            && (is_reader_first || known.reader < self.own)
        {
            self.takeover = TakeoverPhase::Idle;
        }
    }

    /// Returns how this daemon watches the store from `now` on, where `is_first` tells whether it ranks highest in its
    /// data centre.
    pub(super) fn watch_mode(
        &mut self,
        is_first: bool,
        role: WatchRole,
        now: TimePoint,
        pace: TakeoverPace,
        rng: &mut SmallRng,
    ) -> WatchMode {
        let age_ms = now.ms_since(self.confirmed_at.max(self.resumed_at));
        // A daemon that ran late asks first.
        let has_asked = self.search_fails_at.is_some_and(|fails_at| now >= fails_at);
        let is_confirmed = (age_ms <= TAKEOVER_AGE_MS || !has_asked) && now < self.read_due_at;
        self.takeover = match self.takeover {
            TakeoverPhase::Leading => TakeoverPhase::Leading,
            _ if is_confirmed => TakeoverPhase::Idle,
            TakeoverPhase::Idle => {
                let is_first_attempt = now >= self.first_takeover_at;
                let (delay_ms, spread_ms) = if self.is_read_urgent && now >= self.read_due_at {
                    (0, AWAITED_READ_SPREAD_MS)
                } else {
                    pace.first_delay_ms(role, is_first_attempt)
                };
                TakeoverPhase::DueAt(now.after_ms(delay_ms + rng.random_range(0..=spread_ms)))
            }
            TakeoverPhase::DueAt(due_at) if now >= due_at => {
                self.first_takeover_at = now.after_ms(TAKEOVER_MEMORY_MS);
                TakeoverPhase::Leading
            }
            waiting @ TakeoverPhase::DueAt(_) => waiting,
        };
        let leads = is_first || self.takeover == TakeoverPhase::Leading;
        self.mode = match self.mode {
            leading @ WatchMode::Leading { .. } if leads => leading,
            _ if leads => WatchMode::Leading { since: now },
            _ if role == WatchRole::Watcher => WatchMode::Standby,
            _ => WatchMode::Off,
        };
        self.mode
    }

    fn learn(&mut self, confirmed_at: TimePoint, reader: SocketAddr) {
        if confirmed_at > self.confirmed_at {
            self.confirmed_at = confirmed_at;
            self.reader = Some(reader);
        }
    }

    fn retry_ms(&self, now: TimePoint) -> u64 {
        if now.ms_since(self.confirmed_at) <= 2 * CONFIRMATION_TTL_MS {
            INQUIRY_TIMEOUT_MS
        } else {
            LATE_INQUIRY_TIMEOUT_MS
        }
    }
}

/// What the rank of a daemon in its data centre asks of it, in the order in which daemons take over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchRole {
    /// Watches the store.
    Watcher,
    /// Ranks next, with this number of daemons between it and the watchers.
    Replacement(usize),
    /// Takes over only if none of these does.
    Other,
}

/// Pace of takeovers, by the number of daemons that share the budget.
#[derive(Debug, Clone, Copy)]
pub(super) struct TakeoverPace {
    /// Number of present daemons.
    pub(super) daemons: u64,
}

impl TakeoverPace {
    /// Returns the least time until the first attempt after a confirmation, and the time over which the daemons spread
    /// theirs from then on.
    fn first_delay_ms(self, role: WatchRole, is_first_attempt: bool) -> (u64, u64) {
        match role {
            WatchRole::Replacement(place) if is_first_attempt => {
                (place as u64 * REPLACEMENT_STAGGER_MS, REPLACEMENT_STAGGER_MS / 2)
            }
            WatchRole::Other if is_first_attempt => (
                FIRST_TAKEOVER_DELAY_MS,
                self.daemons * 1_000 / FIRST_TAKEOVERS_PER_S,
            ),
            _ => (0, self.interval_ms(role)),
        }
    }

    /// Returns the mean time between two attempts of a daemon.
    fn interval_ms(self, role: WatchRole) -> u64 {
        match role {
            WatchRole::Watcher => WATCHER_TAKEOVER_INTERVAL_MS,
            WatchRole::Replacement(_) | WatchRole::Other => {
                (self.daemons * 1_000 / TAKEOVERS_PER_S).max(MIN_TAKEOVER_INTERVAL_MS)
            }
        }
    }
}
