//! Departures of the targets beside this daemon: recorded in the store before they are acknowledged, and read from it at the
//! start of the process.

use {
    super::ControlState,
    crate::{
        clock::TimePoint,
        daemon::edges::{MessageOutcome, TargetMessage},
        member::{DEPARTURE_REPLY_MS, DepartureStep, TargetDeparture},
        store::StoreError,
    },
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// Reply to a target that leaves, held back until its departure is recorded.
#[derive(Debug)]
pub(super) struct HeldReply {
    /// Identity of the target.
    id: Arc<str>,
    /// When the target is answered in any case.
    answer_by: TimePoint,
    reply: oneshot::Sender<MessageOutcome>,
}

impl ControlState {
    /// Handles a message of the target and replies to it, to one that leaves only once that is recorded.
    pub(super) fn receive_target_message(
        &mut self,
        message: TargetMessage,
        reply: oneshot::Sender<MessageOutcome>,
        now: TimePoint,
    ) {
        let departing = message.departing_target().cloned();
        let is_accepted = self.handle_target_message(message, now);
        let unrecorded = departing.filter(|id| is_accepted && self.departures.is_unrecorded(id));
        let Some(id) = unrecorded else {
            let outcome = if is_accepted {
                MessageOutcome::Accepted
            } else {
                MessageOutcome::Superseded
            };
            let _ = reply.send(outcome);
            return;
        };
        self.held_replies.push(HeldReply {
            id,
            answer_by: now.after_ms(DEPARTURE_REPLY_MS),
            reply,
        });
        self.tick_departures(now);
    }

    /// Starts the calls to the store that are due, and answers targets that can't wait any longer.
    pub(super) fn tick_departures(&mut self, now: TimePoint) {
        if self.shared.settings.announcements.is_none() {
            return;
        }
        for step in self.departures.tick(now) {
            match step {
                DepartureStep::Read => self.store.read_departures(),
                DepartureStep::Record(departure) => self.store.record_departure(&departure),
            }
        }
        self.answer_held(now);
    }

    fn answer_held(&mut self, now: TimePoint) {
        let due =
            |held: &mut HeldReply| held.answer_by <= now || self.departures.may_acknowledge(&held.id, now);
        for held in self.held_replies.extract_if(.., due) {
            let is_unrecorded = self.departures.is_unrecorded(&held.id);
            let outcome = if self.departures.may_acknowledge(&held.id, now) {
                MessageOutcome::Accepted
            } else {
                MessageOutcome::Unrecorded
            };
            if is_unrecorded {
                log::warn!(
                    "event=departure-unrecorded target={} outcome={outcome:?}",
                    held.id
                );
            }
            let _ = held.reply.send(outcome);
        }
    }

    /// Handles the result of reading the departures that earlier processes recorded.
    pub(super) fn finish_departures_read(
        &mut self,
        result: Result<Vec<TargetDeparture>, StoreError>,
        now: TimePoint,
    ) {
        self.departures.finish_read(result.is_ok(), now);
        match result {
            Ok(departures) => {
                for departure in departures {
                    self.mark_departed(&departure, "the store reports that the target departed", now);
                }
                self.open_held_target(now);
            }
            Err(error) => log::warn!("event=departures-not-read error={error:?}"),
        }
    }

    /// Records the latest departures again, as the store came back from a copy that may lack them. They are acknowledged, and
    /// after the loss of every daemon only the store has them.
    pub(super) fn restore_departures(&mut self, now: TimePoint) {
        for departure in self.departed.to_restore(now) {
            log::info!(
                "event=departure-restored target={} born={}",
                departure.id,
                departure.born
            );
            self.departures.restore(departure, now);
        }
        self.tick_departures(now);
    }

    /// Handles the result of an attempt to record a departure.
    pub(super) fn finish_departure_record(
        &mut self,
        departure: &TargetDeparture,
        result: Result<(), StoreError>,
        now: TimePoint,
    ) {
        let TargetDeparture { id, born } = departure;
        self.departures.finish_record(departure, result.is_ok(), now);
        match result {
            Ok(()) => log::info!("event=departure-recorded target={id} born={born}"),
            Err(error) => log::warn!("event=departure-not-recorded target={id} born={born} error={error:?}"),
        }
        self.answer_held(now);
    }
}
