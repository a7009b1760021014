//! Guards that release a slot of the target or a place in the gate's queue when dropped.

use {
    crate::{
        daemon::shared::SharedState,
        gate::{GateRefusal, TicketId},
    },
    std::{sync::Arc, time::Instant},
    tokio::sync::oneshot,
};

/// Slot of the target, released when dropped.
pub(super) struct SlotGuard {
    pub(super) shared: Arc<SharedState>,
    pub(super) ticket: TicketId,
    pub(super) started: Instant,
    /// Whether the target answered with a status other than 5xx. Only then does the run time count for the mean, as a
    /// failed run may have ended early.
    pub(super) is_successful: bool,
    /// Whether the target answered with a 5xx status.
    pub(super) is_failed: bool,
}

impl SlotGuard {
    pub(super) fn new(shared: &Arc<SharedState>, ticket: TicketId) -> Self {
        Self {
            shared: Arc::clone(shared),
            ticket,
            started: Instant::now(),
            is_successful: false,
            is_failed: false,
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let ran_ms = self
            .is_successful
            .then(|| self.started.elapsed().as_secs_f64() * 1e3);
        let mut gate = self.shared.gate.lock();
        if self.is_failed {
            gate.state.fail(self.ticket);
        }
        let outcomes = gate.state.finish(self.ticket, ran_ms, now);
        gate.wake(outcomes, now);
    }
}

/// Place in the gate's queue. If it is dropped while the call is still queued, the call is removed.
pub(super) struct QueueGuard {
    pub(super) shared: Arc<SharedState>,
    pub(super) ticket: TicketId,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let mut gate = self.shared.gate.lock();
        gate.waiting.remove(&self.ticket);
        gate.state.abandon(self.ticket);
    }
}

/// Waits for the slot of a queued call. If it is dropped after a slot was granted, the slot is released.
pub(super) struct SlotWaiter {
    pub(super) receiver: oneshot::Receiver<Result<(), GateRefusal>>,
    pub(super) shared: Arc<SharedState>,
    pub(super) ticket: TicketId,
}

impl SlotWaiter {
    pub(super) async fn wait(mut self) -> Result<SlotGuard, GateRefusal> {
        match (&mut self.receiver).await {
            Ok(Ok(())) => Ok(SlotGuard::new(&self.shared, self.ticket)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(GateRefusal::Expired),
        }
    }
}

impl Drop for SlotWaiter {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(Ok(())) = self.receiver.try_recv() {
            drop(SlotGuard::new(&self.shared, self.ticket));
        }
    }
}
