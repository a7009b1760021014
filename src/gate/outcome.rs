//! What a gate decides about calls.

use {super::refusal::GateRefusal, crate::macros::key_type};

key_type! {
    /// Identifies an admitted or queued call.
    pub struct TicketId(pub u64);
}

/// Admission decision for an arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateAdmission {
    /// The call has a slot and runs now.
    Run(TicketId),
    /// The call is queued for a slot.
    Wait(TicketId),
    /// The call is refused.
    Refuse(GateRefusal),
}

/// Reason for which a call left the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DequeueOutcome {
    /// The call has a slot and runs now.
    Run(TicketId),
    /// The call is refused.
    Refuse(TicketId, GateRefusal),
}
