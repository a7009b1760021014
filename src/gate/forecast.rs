//! Forecast of the wait for a slot: what the running calls still need, and the work that is queued ahead.

/// Least time that a running call is expected to need, as a fraction of a run: one that has taken longer than expected is
/// not about to end.
const MIN_LEFT_FRACTION: f64 = 0.25;

/// Returns the time that a call which has run for `ran_ms` still needs, in milliseconds.
pub fn time_left_ms(expected_ms: f64, ran_ms: f64) -> f64 {
    (expected_ms - ran_ms).max(expected_ms * MIN_LEFT_FRACTION)
}

/// Returns the wait for a slot, in milliseconds: `running` are the times after which the calls in the slots end, and
/// `ahead` the run times of the calls that get a slot before, in their order. Slots without a call are free at once.
pub fn wait_ms(slots: usize, running: impl Iterator<Item = f64>, ahead: impl Iterator<Item = f64>) -> f64 {
    let mut free_at: Vec<f64> = running.collect();
    let ahead: Vec<f64> = ahead.collect();
    // No more slots are needed than there are calls; a target may state any number.
    let free_slots = slots.saturating_sub(free_at.len()).min(ahead.len() + 1);
    free_at.resize(free_at.len() + free_slots, 0.0);
    free_at.sort_unstable_by(|a, b| b.total_cmp(a));
    // A gate that lost slots, as in the slow start of a new target, waits for the calls over its limit as well.
    free_at.truncate(slots.max(1));
    for run_ms in ahead {
        let Some(earliest) = free_at.pop() else { return 0.0 };
        let ends_at = earliest + run_ms;
        let at = free_at.partition_point(|free| *free > ends_at);
        free_at.insert(at, ends_at);
    }
    free_at.last().copied().unwrap_or_default()
}
