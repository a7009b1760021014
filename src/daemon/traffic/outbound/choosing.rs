//! Choice of version and target for an attempt.

use {
    super::{super::attempt::queue_rank, OutboundHandler, RoutedCall},
    crate::{
        call::{AnswerForecast, CandidateTarget, MissingTarget, TargetCriteria, TargetNeed, choose_version},
        clock::TimePoint,
        config::CompiledPool,
        daemon::{refusals::log_word, snapshot::ServingTarget},
        gate::GateRefusal,
        member::best_ranked,
        quarantine::RequestStanding,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::sync::Arc,
};

/// Shortest time after which a refused caller may try again, in milliseconds: a few runs have ended by then.
pub(super) const RETRY_AFTER_MS: u64 = 250;
/// Callers honour the time to retry after up to the time they have left, divided by this.
const MAX_RETRY_AFTER_DIVISOR: u64 = 3;

/// Target of an attempt.
pub(super) enum TargetChoice {
    /// This one.
    Target(ServingTarget),
    /// The request is held back at every eligible target.
    HeldBack,
    /// No target is expected to answer in time.
    NoRoom,
    /// No target is eligible.
    None,
}

/// What the next attempt of a call needs of its target.
#[derive(Debug, Default)]
pub(super) struct AttemptNeed {
    /// Whether it is a hedged one.
    pub is_hedge: bool,
    /// Whether a full gate has refused the call.
    is_for_room: bool,
}

impl AttemptNeed {
    /// Returns the need of the next attempt; those after it are not hedged ones.
    pub(super) fn take(&mut self) -> TargetNeed {
        if std::mem::take(&mut self.is_hedge) {
            TargetNeed::Idle
        } else if self.is_for_room {
            TargetNeed::Room
        } else {
            TargetNeed::Any
        }
    }

    /// Records the reason for which an attempt failed.
    pub(super) fn record_failure(&mut self, reason: &str) {
        let refusal = GateRefusal::parse(reason);
        self.is_for_room |= matches!(refusal, Some(GateRefusal::Full | GateRefusal::Expired));
    }
}

impl OutboundHandler {
    /// Chooses a version by the cleared share and a target of it that has not been tried. If the version has no
    /// eligible target or a gate has recently refused it as stopped, its fallback is used. A suspect goes to the target
    /// that all daemons select for it, and is not hedged.
    pub(super) fn choose(
        &self,
        call: &RoutedCall,
        body_bytes: usize,
        tried: &[Arc<str>],
        need: TargetNeed,
    ) -> TargetChoice {
        let shared = &self.shared;
        let pool: &CompiledPool = &call.pool;
        let now = shared.now();
        let snapshot = shared.snapshot.load();
        let (draw, mut rng) = {
            let mut rng = self.rng.lock();
            (rng.random::<f64>(), SmallRng::seed_from_u64(rng.random()))
        };
        let no_old_targets = pool.order.as_ref().is_some_and(|order| {
            snapshot
                .targets_of(&pool.entry.service, &order.from, &order.to)
                .next()
                .is_none()
        });
        let (choice, preferred_is_stopped) = {
            let registry = shared.moves.lock();
            let share = pool
                .order
                .as_ref()
                .map_or(0.0, |order| registry.share(&pool.name, order.id));
            let choice = choose_version(pool, share, draw, no_old_targets);
            let stopped = registry.is_stopped(&pool.name, &choice.version, now);
            (choice, stopped)
        };
        let mut is_held_back = false;
        let mut is_without_room = false;
        let moving_to = pool.order.as_ref().map_or("", |order| &order.to);
        let first = Some(&choice.version).filter(|_| !preferred_is_stopped || choice.fallback.is_none());
        for version in first.into_iter().chain(&choice.fallback) {
            let targets = snapshot.targets_of(&pool.entry.service, version, moving_to);
            let (targets, is_suspect) = self.admitted(call, targets.collect(), &mut is_held_back);
            if is_suspect {
                match choose_for_suspect(call, &targets, tried) {
                    Some(target) if need != TargetNeed::Idle => return TargetChoice::Target(target.clone()),
                    _ => continue,
                }
            }
            let candidates: Vec<CandidateTarget> = targets.iter().map(|target| candidate(target)).collect();
            let chosen = {
                let selector = shared.selector.lock();
                let criteria = TargetCriteria {
                    cross_dc_cost_ms: selector.cross_dc_cost_ms(&call.route.name, body_bytes),
                    need,
                    ..criteria(call, now)
                };
                let chosen = selector.choose(&candidates, tried, criteria, &mut rng, now);
                if chosen == Err(MissingTarget::NoRoom) {
                    self.log_no_room(call, selector.forecast(&candidates, criteria, now), criteria);
                }
                chosen.map(|chosen| Arc::clone(&chosen.name))
            };
            match chosen {
                Ok(name) => {
                    if let Some(target) = targets.iter().find(|target| target.name == name) {
                        return TargetChoice::Target((*target).clone());
                    }
                }
                Err(MissingTarget::NoRoom) => is_without_room = true,
                Err(MissingTarget::None) => {}
            }
        }
        if is_held_back {
            TargetChoice::HeldBack
        } else if is_without_room {
            shared.metrics.calls_without_room.inc();
            TargetChoice::NoRoom
        } else {
            TargetChoice::None
        }
    }

    /// Logs what was expected of the targets of a call that none of them gets.
    fn log_no_room(&self, call: &RoutedCall, forecast: Option<AnswerForecast>, criteria: TargetCriteria<'_>) {
        let (shared, route) = (&self.shared, &call.route.name);
        let now = shared.now();
        let (Some(forecast), Some(suppressed)) = (
            forecast,
            shared.refusal_lines.admit("targets", None, "no-room", route, now),
        ) else {
            return;
        };
        log::info!(
            target: "calls",
            "event=no-room id={} route={} limit_ms={:.0} run_ms={:.0} is_run_known={} wait_ms={:.0} load={:.2} \
             suppressed={suppressed}",
            log_word(call.options.id.as_deref().unwrap_or("")),
            log_word(route),
            criteria.limit_ms.unwrap_or(f64::INFINITY),
            forecast.run_ms,
            forecast.is_run_known,
            forecast.wait_ms,
            forecast.load
        );
    }

    /// Returns the time after which a caller that was refused for want of room may try again, in milliseconds: once a
    /// target is expected to answer in the useful time, drawn from up to twice that, so that callers that were refused
    /// together don't return together. At most the part of the caller's time that callers wait.
    pub(super) fn retry_after_ms(&self, call: &RoutedCall) -> u64 {
        let shared = &self.shared;
        let now = shared.now();
        let snapshot = shared.snapshot.load();
        let targets = snapshot.targets.get(&call.pool.entry.service);
        let candidates: Vec<CandidateTarget> = targets.into_iter().flatten().map(candidate).collect();
        let criteria = TargetCriteria {
            limit_ms: Some(call.useful_until.ms_since(call.arrived_at) as f64),
            ..criteria(call, now)
        };
        let room_in_ms = shared.selector.lock().room_in_ms(&candidates, criteria, now);
        let wait_ms = room_in_ms.max(RETRY_AFTER_MS as f64) * self.rng.lock().random_range(1.0..2.0);
        (wait_ms as u64).min(call.deadline.ms_since(now) / MAX_RETRY_AFTER_DIVISOR)
    }

    /// Returns the targets at which a request is not held back, and whether it is a suspect there.
    fn admitted<'a>(
        &self,
        call: &RoutedCall,
        targets: Vec<&'a ServingTarget>,
        is_held_back: &mut bool,
    ) -> (Vec<&'a ServingTarget>, bool) {
        let shared = &self.shared;
        let mut is_suspect = call.ends > 0;
        let Some(fingerprints) = call.fingerprints else {
            return (targets, is_suspect);
        };
        let quarantine = shared.quarantine.lock();
        if quarantine.is_quiet() {
            return (targets, is_suspect);
        }
        let now = shared.now();
        let mut is_admitted = |target: &&ServingTarget| {
            let standing = quarantine.standing(&fingerprints, &target.version, now);
            is_suspect |= standing == RequestStanding::Suspect;
            let is_held = matches!(standing, RequestStanding::Held(_));
            *is_held_back |= is_held;
            !is_held
        };
        let admitted = targets.into_iter().filter(&mut is_admitted).collect();
        (admitted, is_suspect)
    }
}

fn criteria(call: &RoutedCall, now: TimePoint) -> TargetCriteria<'_> {
    // Without an answer, also a late one, the run that makes a nested call is lost.
    let answer_by = if now < call.useful_until && !call.is_nested {
        call.useful_until
    } else {
        call.deadline
    };
    TargetCriteria {
        route: &call.route.name,
        limit_ms: Some(answer_by.ms_since(now) as f64),
        priority: queue_rank(call.route.priority, call.is_nested),
        ..TargetCriteria::default()
    }
}

fn candidate(target: &ServingTarget) -> CandidateTarget {
    CandidateTarget {
        name: Arc::clone(&target.name),
        slots: target.slots,
        is_near: target.is_near,
        is_suspect: target.is_suspect,
    }
}

/// Chooses the target that all daemons with the same member list choose for a suspect.
fn choose_for_suspect<'a>(
    call: &RoutedCall,
    targets: &[&'a ServingTarget],
    tried: &[Arc<str>],
) -> Option<&'a ServingTarget> {
    let job = call.fingerprints?.head.to_string();
    let untried = targets.iter().filter(|target| !tried.contains(&target.name));
    let names = untried.map(|target| &*target.name);
    let name = best_ranked(&job, names, 1).into_iter().next()?;
    targets.iter().find(|target| *target.name == *name).copied()
}
