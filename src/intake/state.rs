//! State of the intake, without I/O.

use {
    crate::{clock::TimePoint, macros::key_type},
    indexmap::IndexMap,
};

/// Number of bodies that may come at a time on any link.
const MIN_COMING: usize = 2;
/// Time in which a link should carry all bodies that come at a time, in milliseconds.
const COMING_MS: f64 = 100.0;
/// Time after which a body that has not moved counts no longer as coming, in milliseconds.
pub const STALL_MS: u64 = 200;
/// Part of a link's rate that bodies get; the rest is for heads, answers and control traffic.
const BODY_SHARE: f64 = 0.9;
/// Bytes that a link of one megabit per second carries in a millisecond.
const BYTES_PER_MS_OF_MBPS: f64 = 125.0;
/// Share of a VM's memory for bodies.
const MEMORY_SHARE: f64 = 1.0 / 16.0;
/// Room for bodies where the VM's memory is not known, in bytes.
const DEFAULT_ROOM_BYTES: u64 = 8 << 20;

key_type! {
    /// Identifies an offered body.
    pub struct IntakeId(pub u64);
}

/// Limits of an intake.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IntakeLimits {
    /// Bytes of bodies that the link carries in a millisecond; `None` if its rate is not known.
    pub bytes_per_ms: Option<f64>,
    /// Room for bodies that are coming or wait for a slot, in bytes.
    pub room_bytes: u64,
}

impl IntakeLimits {
    /// Returns the limits for a link and a memory, where they are known.
    pub fn new(link_mbps: Option<f64>, memory_mb: Option<f64>) -> Self {
        Self {
            bytes_per_ms: link_mbps.map(|mbps| mbps * BYTES_PER_MS_OF_MBPS * BODY_SHARE),
            room_bytes: memory_mb.map_or(DEFAULT_ROOM_BYTES, |mb| {
                (mb * MEMORY_SHARE * f64::from(1 << 20)) as u64
            }),
        }
    }
}

/// Body that a proxy offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyOffer {
    /// Size in bytes.
    pub bytes: u64,
    /// Rank of the call's route; 0 is the most urgent.
    pub priority: u8,
    /// Time after which an answer counts as late.
    pub useful_until: TimePoint,
    /// Expected time of the run, in milliseconds.
    pub run_ms: u64,
    /// Time until a slot is expected to be free for the call, in milliseconds.
    pub slot_wait_ms: u64,
    /// Time by which the call must have a slot.
    pub start_by: TimePoint,
}

impl BodyOffer {
    /// Returns the sort key of the offers, lowest for the most urgent one.
    fn urgency(&self, id: IntakeId) -> (u8, TimePoint, IntakeId) {
        (self.priority, self.useful_until, id)
    }
}

/// Decision on an offered body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntakeAdmission {
    /// The body is asked for now.
    Receive(IntakeId),
    /// It waits for its turn.
    Wait(IntakeId),
    /// Its call would be answered late.
    Refuse,
}

/// Body that has been asked for.
#[derive(Debug, Clone, Copy)]
struct ComingBody {
    bytes: u64,
    left: u64,
    moved_at: TimePoint,
}

/// Intake of one gate.
#[derive(Debug, Clone)]
pub struct IntakeState {
    limits: IntakeLimits,
    /// Bodies that were asked for, until their calls have ended.
    held: IndexMap<IntakeId, ComingBody>,
    /// Offers that wait, the most urgent one last.
    queue: Vec<(IntakeId, BodyOffer)>,
    last_id: u64,
}

impl IntakeState {
    /// Creates an intake without bodies.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            held: IndexMap::new(),
            queue: Vec::new(),
            last_id: 0,
        }
    }

    /// Returns the number of bodies that are coming.
    pub fn coming(&self) -> usize {
        self.held.values().filter(|body| body.left > 0).count()
    }

    /// Returns the number of offers that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the size of the bodies that are coming or here, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.held.values().map(|body| body.bytes).sum()
    }

    /// Returns the time until a body of a rank that is offered now would be here, in milliseconds; 0 if the link's rate is not
    /// known.
    pub fn arrival_ms(&self, offer: &BodyOffer, now: TimePoint) -> u64 {
        let Some(bytes_per_ms) = self.limits.bytes_per_ms else {
            return 0;
        };
        let coming = self.moving(now).map(|body| body.left);
        let urgency = offer.urgency(IntakeId(u64::MAX));
        let ahead = self
            .queue
            .iter()
            .filter(|(id, other)| other.urgency(*id) < urgency);
        let bytes = coming.chain(ahead.map(|(_, other)| other.bytes)).sum::<u64>() + offer.bytes;
        (bytes as f64 / bytes_per_ms) as u64
    }

    /// Decides on an offered body. One that would have to wait, and whose call would be answered late for that, is refused.
    pub fn offer(&mut self, offer: BodyOffer, now: TimePoint) -> IntakeAdmission {
        let arrival_ms = self.arrival_ms(&offer, now);
        let start_at = now.after_ms(arrival_ms.max(offer.slot_wait_ms));
        let is_idle = self.queue.is_empty() && self.has_room(offer.bytes, now);
        let is_late = start_at.after_ms(offer.run_ms) > offer.useful_until;
        let has_to_wait = !is_idle || offer.slot_wait_ms > 0;
        if (is_late && has_to_wait) || start_at > offer.start_by || offer.bytes > self.limits.room_bytes {
            return IntakeAdmission::Refuse;
        }
        self.last_id += 1;
        let id = IntakeId(self.last_id);
        if is_idle {
            self.ask(id, offer.bytes, now);
            return IntakeAdmission::Receive(id);
        }
        let urgency = offer.urgency(id);
        let at = self
            .queue
            .partition_point(|(id, other)| other.urgency(*id) > urgency);
        self.queue.insert(at, (id, offer));
        IntakeAdmission::Wait(id)
    }

    /// Records that bytes of a body have come.
    pub fn record_progress(&mut self, id: IntakeId, bytes: u64, now: TimePoint) {
        if let Some(body) = self.held.get_mut(&id) {
            body.left = body.left.saturating_sub(bytes);
            body.moved_at = now;
        }
    }

    /// Forgets a body or an offer, whose call has ended or begun to run.
    pub fn remove(&mut self, id: IntakeId) {
        if self.held.swap_remove(&id).is_none() {
            self.queue.retain(|(other, _)| *other != id);
        }
    }

    /// Returns the offers whose turn it is, whose bodies count as asked for from now on.
    pub fn next_turns(&mut self, now: TimePoint) -> Vec<IntakeId> {
        let mut turns = Vec::new();
        while let Some((id, offer)) = self.queue.last().copied() {
            if !self.has_room(offer.bytes, now) {
                break;
            }
            self.queue.pop();
            self.ask(id, offer.bytes, now);
            turns.push(id);
        }
        turns
    }

    fn ask(&mut self, id: IntakeId, bytes: u64, now: TimePoint) {
        let body = ComingBody {
            bytes,
            left: bytes,
            moved_at: now,
        };
        self.held.insert(id, body);
    }

    fn has_room(&self, bytes: u64, now: TimePoint) -> bool {
        if self.held_bytes() + bytes > self.limits.room_bytes {
            return false;
        }
        let (count, left) = self
            .moving(now)
            .fold((0, 0), |(count, left), body| (count + 1, left + body.left));
        let fits_link = |bytes_per_ms: f64| (left + bytes) as f64 <= bytes_per_ms * COMING_MS;
        count < MIN_COMING || self.limits.bytes_per_ms.is_some_and(fits_link)
    }

    /// Returns the bodies that are coming, without those that have stalled.
    fn moving(&self, now: TimePoint) -> impl Iterator<Item = &ComingBody> {
        let is_moving = move |body: &&ComingBody| body.left > 0 && now.ms_since(body.moved_at) < STALL_MS;
        self.held.values().filter(is_moving)
    }
}
