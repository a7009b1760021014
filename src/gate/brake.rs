//! Brake on runs that would be lost: a run whose nested calls are refused ends badly, after it has held its slot and had
//! its other nested calls run for nothing.

use {crate::clock::TimePoint, indexmap::IndexMap, std::sync::Arc};

/// Smallest share of the calls of a route that is run, so that room at the called service is noticed.
const MIN_SHARE: f64 = 0.1;
/// Part of the share by which a lost run lowers it.
const LOSS_STEP: f64 = 0.2;
/// Amount by which a run that ended well raises the share. With [`LOSS_STEP`], about one run in ten is lost where the called
/// service has less room than callers ask for.
const GAIN_STEP: f64 = 0.01;
/// Number of runs that ended well in a row after which that amount has doubled.
const WELL_TO_DOUBLE: f64 = 8.0;
/// Number of routes that are followed.
const MAX_ROUTES: usize = 64;

/// Share of the calls of one route that is run.
#[derive(Debug, Clone, Copy)]
struct RouteBrake {
    share: f64,
    /// Fraction of a run that has been saved up.
    credit: f64,
    /// Number of runs that ended well since the last lost one.
    well_in_row: u32,
}

/// Shares of calls that are run, by route; a route without an entry is not braked.
#[derive(Debug, Clone, Default)]
pub struct RunBrake {
    /// When a nested call of the target was refused last.
    refused_at: TimePoint,
    routes: IndexMap<Arc<str>, RouteBrake>,
}

impl RunBrake {
    /// Records that a nested call of the target was refused.
    pub fn record_refused_call(&mut self, now: TimePoint) {
        self.refused_at = now;
    }

    /// Records the end of a run that began at `started_at`. It is lost if it failed and a nested call was refused
    /// meanwhile.
    pub fn record_end(&mut self, route: &Arc<str>, is_failed: bool, started_at: TimePoint) {
        let is_lost = is_failed && self.refused_at >= started_at;
        let has_room = self.routes.len() < MAX_ROUTES;
        match self.routes.get_mut(route) {
            Some(brake) if is_lost => {
                brake.share = (brake.share * (1.0 - LOSS_STEP)).max(MIN_SHARE);
                brake.well_in_row = 0;
            }
            Some(brake) if !is_failed => {
                brake.share += GAIN_STEP * (1.0 + f64::from(brake.well_in_row) / WELL_TO_DOUBLE);
                brake.well_in_row += 1;
                if brake.share >= 1.0 {
                    self.routes.swap_remove(route);
                }
            }
            None if is_lost && has_room => {
                let first = RouteBrake {
                    share: 1.0 - LOSS_STEP,
                    credit: 0.0,
                    well_in_row: 0,
                };
                self.routes.insert(Arc::clone(route), first);
            }
            _ => {}
        }
    }

    /// Returns whether a call of a route may run now, and takes it from the route's share.
    pub fn admit(&mut self, route: &str) -> bool {
        let Some(brake) = self.routes.get_mut(route) else {
            return true;
        };
        brake.credit += brake.share;
        let has_credit = brake.credit >= 1.0;
        brake.credit -= f64::from(u8::from(has_credit));
        has_credit
    }

    /// Returns the share of the calls of a route that is run, from [`MIN_SHARE`] to 1.
    pub fn share(&self, route: &str) -> f64 {
        self.routes.get(route).map_or(1.0, |brake| brake.share)
    }
}
