//! Choice of version and target for an attempt.

use {
    super::{OutboundHandler, RoutedCall},
    crate::{
        call::{CandidateTarget, TargetCriteria, choose_version},
        config::CompiledPool,
        daemon::snapshot::ServingTarget,
        member::best_ranked,
        quarantine::RequestStanding,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::sync::Arc,
};

/// Target of an attempt.
pub(super) enum TargetChoice {
    /// This one.
    Target(ServingTarget),
    /// The request is held back at every eligible target.
    HeldBack,
    /// No target is eligible.
    None,
}

impl OutboundHandler {
    /// Chooses a version by the cleared share and a target of it that has not been tried. If the version has no
    /// eligible target or a gate has recently refused it as stopped, its fallback is used. `only_idle` is set for a
    /// hedged attempt. A suspect goes to the target that all daemons select for it, and is not hedged.
    pub(super) fn choose(
        &self,
        call: &RoutedCall,
        body_bytes: usize,
        tried: &[Arc<str>],
        only_idle: bool,
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
        let moving_to = pool.order.as_ref().map_or("", |order| &order.to);
        let first = Some(&choice.version).filter(|_| !preferred_is_stopped || choice.fallback.is_none());
        for version in first.into_iter().chain(&choice.fallback) {
            let targets = snapshot.targets_of(&pool.entry.service, version, moving_to);
            let (targets, is_suspect) = self.admitted(call, targets.collect(), &mut is_held_back);
            if is_suspect {
                match choose_for_suspect(call, &targets, tried) {
                    Some(target) if !only_idle => return TargetChoice::Target(target.clone()),
                    _ => continue,
                }
            }
            let candidates: Vec<CandidateTarget> = targets.iter().map(|target| candidate(target)).collect();
            let chosen = {
                let selector = shared.selector.lock();
                let answer_by = if now < call.useful_until {
                    call.useful_until
                } else {
                    call.deadline
                };
                let criteria = TargetCriteria {
                    route: &call.route.name,
                    cross_dc_cost_ms: selector.cross_dc_cost_ms(&call.route.name, body_bytes),
                    limit_ms: Some(answer_by.ms_since(now) as f64),
                    only_idle,
                    priority: call.priority,
                };
                let chosen = selector.choose(&candidates, tried, criteria, &mut rng, now);
                chosen.map(|chosen| Arc::clone(&chosen.name))
            };
            if let Some(target) = chosen.and_then(|name| targets.iter().find(|target| target.name == name)) {
                return TargetChoice::Target((*target).clone());
            }
        }
        if is_held_back {
            TargetChoice::HeldBack
        } else {
            TargetChoice::None
        }
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
