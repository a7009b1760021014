//! Bodies that a gate asks for before their calls take a slot.

use {
    super::{
        super::{
            body::{BodyProgress, BodyRoom, MAX_HELD_BYTES, OFFERED_BYTES, RequestBody, declared_length},
            hop::HopCall,
            transfer_report::TransferReport,
        },
        GateFailure, arrival,
    },
    crate::{
        clock::TimePoint,
        daemon::shared::SharedState,
        gate::GateRefusal,
        intake::{BodyOffer, IntakeAdmission, IntakeId, STALL_MS},
    },
    salvo::Request,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{Instant, timeout},
    },
};

/// Body of a call that has no slot yet, or of one that runs.
pub(super) struct ReceivedBody {
    pub(super) body: RequestBody,
    pub(super) progress: Arc<BodyProgress>,
    /// Place of the body in the intake, until dropped; `None` for one that did not pass it.
    pub(super) _place: Option<IntakePlace>,
}

/// Place of an offer or a body in the intake, given up when dropped.
pub(super) struct IntakePlace {
    shared: Arc<SharedState>,
    id: IntakeId,
}

impl Drop for IntakePlace {
    fn drop(&mut self) {
        let mut intake = self.shared.intake.lock();
        intake.waiting.remove(&self.id);
        intake.state.remove(self.id);
        intake.wake(self.shared.now());
    }
}

/// Returns the size of a body that has to pass the intake.
fn offered_bytes(req: &Request) -> Option<u64> {
    declared_length(req.headers())
        .filter(|length| (OFFERED_BYTES as u64..=MAX_HELD_BYTES as u64).contains(length))
}

/// Asks for a large body in its turn, and reads it. Returns `None` for another body, which is read when its call has a slot.
pub(super) async fn receive(
    shared: &Arc<SharedState>,
    req: &mut Request,
    hop: &HopCall,
) -> Result<Option<ReceivedBody>, GateFailure> {
    let Some(bytes) = offered_bytes(req) else {
        return Ok(None);
    };
    let wait_until = arrival(hop, hop.is_nested).wait_until();
    let place = take_turn(shared, hop, bytes, wait_until)
        .await
        .map_err(GateFailure::NotRun)?;
    let (observed, id) = (Arc::clone(shared), place.id);
    let report = TransferReport::new(shared, "gate");
    let progress = BodyProgress::new(report).with_observer(move |bytes| {
        let now = observed.now();
        let mut intake = observed.intake.lock();
        intake.state.record_progress(id, bytes as u64, now);
        intake.wake(now);
    });
    let progress = Arc::new(progress);
    let until = Instant::now() + wait_until.remaining_from(shared.now());
    let body = req.take_body();
    let read = RequestBody::read(req.headers(), body, bytes, until, &progress, BodyRoom::Reserved).await;
    let kind = if read.is_ok() { "received" } else { "broken" };
    shared.metrics.count_offered_body(kind);
    let body = read.map_err(|_| GateFailure::BodyIncomplete)?;
    Ok(Some(ReceivedBody {
        body,
        progress,
        _place: Some(place),
    }))
}

/// Offers a body to the intake, and waits until it may come.
async fn take_turn(
    shared: &Arc<SharedState>,
    hop: &HopCall,
    bytes: u64,
    wait_until: TimePoint,
) -> Result<IntakePlace, GateRefusal> {
    let now = shared.now();
    let (slot_wait_ms, run_ms) = shared
        .gate
        .lock()
        .state
        .forecast_ms(&arrival(hop, hop.is_nested), now)?;
    let offer = BodyOffer {
        bytes,
        priority: hop.priority,
        useful_until: hop.useful_until,
        run_ms,
        slot_wait_ms,
        start_by: wait_until,
    };
    let (place, turn) = {
        let mut intake = shared.intake.lock();
        let place = |id| IntakePlace {
            shared: Arc::clone(shared),
            id,
        };
        match intake.state.offer(offer, now) {
            IntakeAdmission::Receive(id) => return Ok(place(id)),
            IntakeAdmission::Refuse => {
                shared.metrics.count_offered_body("refused");
                return Err(GateRefusal::Full);
            }
            IntakeAdmission::Wait(id) => {
                let (sender, turn) = oneshot::channel();
                intake.waiting.insert(id, sender);
                (place(id), turn)
            }
        }
    };
    let waiting = async {
        let mut turn = turn;
        // A body that stalls makes room without an event.
        while timeout(Duration::from_millis(STALL_MS), &mut turn).await.is_err() {
            shared
                .gate
                .lock()
                .state
                .forecast_ms(&arrival(hop, hop.is_nested), shared.now())?;
            shared.intake.lock().wake(shared.now());
        }
        Ok(())
    };
    let limit = wait_until.remaining_from(now);
    match timeout(limit, waiting).await.unwrap_or(Err(GateRefusal::Expired)) {
        Ok(()) => Ok(place),
        Err(refusal) => {
            shared.metrics.count_offered_body("expired");
            Err(refusal)
        }
    }
}
