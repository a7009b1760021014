//! Evacuations that come into force or are taken back with a table.

use {
    super::ControlState,
    crate::{
        clock::TimePoint,
        config::CompiledTable,
        evacuation::{EvacuationChange, EvacuationOrders},
        timeline::EventKind,
    },
};

impl ControlState {
    /// Compares the evacuations of a table that comes into force with those before. The gate of an evacuated data centre
    /// refuses what is queued; after that is taken back, its target counts as cold until it announces itself.
    pub(super) fn apply_evacuations(&mut self, table: &CompiledTable, now: TimePoint) {
        let none = EvacuationOrders::default();
        let former = self.table.as_ref().map_or(&none, |table| &table.evacuations);
        for (data_centre, change) in table.evacuations.changes_since(former) {
            let is_own = data_centre == self.shared.settings.data_centre;
            let (kind, word) = match change {
                EvacuationChange::Ordered => (EventKind::Evacuated, "ordered"),
                EvacuationChange::TakenBack => (EventKind::EvacuationEnded, "taken-back"),
            };
            log::info!(
                "event=evacuation state={word} data_centre={data_centre} own={is_own} version={}",
                table.version
            );
            self.ring.record(kind, format!("data_centre={data_centre}"), now);
            if !is_own {
                continue;
            }
            let mut gate = self.shared.gate.lock();
            match change {
                EvacuationChange::Ordered => {
                    self.shared.metrics.is_evacuated.set(1);
                }
                EvacuationChange::TakenBack => {
                    self.shared.metrics.is_evacuated.set(0);
                    gate.state.cold().record_uncertain(now);
                }
            }
        }
    }

    /// Refuses the queued calls of an evacuated data centre. The table is in force already, so that no call follows them.
    pub(super) fn clear_evacuated_queue(&self, now: TimePoint) {
        let is_evacuated = self.table.as_ref().is_some_and(|table| {
            let data_centre = &self.shared.settings.data_centre;
            table.evacuations.contains(data_centre)
        });
        if is_evacuated {
            let mut gate = self.shared.gate.lock();
            let outcomes = gate.state.evacuate();
            gate.wake(outcomes, now);
        }
    }
}
