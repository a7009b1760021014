//! Slots of the target and places in the gate's queue, given back when they are dropped.

use {
    crate::{
        daemon::shared::SharedState,
        gate::{GateRefusal, TicketId},
    },
    std::{sync::Arc, time::Instant},
    tokio::sync::oneshot,
};

/// A slot of the target; given back when dropped.
pub(super) struct SlotGuard {
    pub(super) shared: Arc<SharedState>,
    pub(super) started: Instant,
    /// Whether the target worked on the call to its end, so that the time tells its pace.
    pub(super) is_complete: bool,
}

impl SlotGuard {
    pub(super) fn new(shared: &Arc<SharedState>) -> Self {
        Self {
            shared: Arc::clone(shared),
            started: Instant::now(),
            is_complete: false,
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let ran_ms = self
            .is_complete
            .then(|| self.started.elapsed().as_secs_f64() * 1e3);
        let mut gate = self.shared.gate.lock();
        let outcomes = gate.state.finish(ran_ms, now);
        gate.wake(outcomes, now);
    }
}

/// A place in the queue; given up when dropped before the call is told.
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

/// Waits to be told; a slot that was granted but not taken is given back.
pub(super) struct SlotWaiter {
    pub(super) receiver: oneshot::Receiver<Result<(), GateRefusal>>,
    pub(super) shared: Arc<SharedState>,
}

impl SlotWaiter {
    pub(super) async fn wait(mut self) -> Result<SlotGuard, GateRefusal> {
        match (&mut self.receiver).await {
            Ok(Ok(())) => Ok(SlotGuard::new(&self.shared)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(GateRefusal::Expired),
        }
    }
}

impl Drop for SlotWaiter {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(Ok(())) = self.receiver.try_recv() {
            drop(SlotGuard::new(&self.shared));
        }
    }
}
