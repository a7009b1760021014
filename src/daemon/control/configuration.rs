//! Configuration: the watch on the store, pulls from peers, and the snapshot for the traffic threads.

use {
    super::{ControlState, SEEDS_WRITE_INTERVAL_MS, STALL_MS, VERSION_CHECK_INTERVAL_MS},
    crate::{
        clock::TimePoint,
        config::{ANY_VERSION, CompiledPool, CompiledTable, MoveStamp, VersionRank},
        daemon::{
            edges::StoreReading,
            envelope::{ControlReply, ControlRequest},
            freshness::TableStanding,
            seeds::select_seeds,
            snapshot::TrafficSnapshot,
            tasks::ControlEvent,
        },
        member::{CONFIRMATION_TTL_MS, MemberRecord, TargetStatus, WatchMode, best_ranked},
        spread::{ConfigReply, OfferRefusal, OverdueVersion},
        store::{StoreError, WriteError},
        timeline::EventKind,
    },
    std::{collections::HashSet, net::SocketAddr, sync::Arc},
};

/// Time after which ends of moves that are still lost are recorded once more, in milliseconds; longer than the edge tries.
const RESTORING_INTERVAL_MS: u64 = 4_000;

/// Time before the last moment at which a removed key may be used in which it is used no more, in milliseconds: a call on its
/// way from the gate to the target has begun to run then.
const KEY_MARGIN_MS: u64 = 250;

impl ControlState {
    /// Sets the watch on the store, and writes the seeds of the data centre when that is due. Both are jobs of the
    /// watchers of the data centre, which rendezvous hashing selects, and of daemons that get no confirmation from
    /// these.
    pub(super) fn tick_store(&mut self, now: TimePoint) {
        let settings = &self.shared.settings;
        // A daemon that lists no others selects itself. It leaves the watch to daemons with a full member list until a
        // peer has answered or joining times out; without configured peers it watches at once.
        let may_watch = self.join.has_synced || now >= self.join.deadline || settings.peers.is_empty();
        let read_due = self.spread.read_due(now);
        self.members
            .set_read_due_at(read_due.at, read_due.is_in_force_elsewhere);
        if let Some(overdue) = self.spread.take_overdue(now) {
            self.log_overdue(overdue, now);
        }
        let mode = if may_watch {
            self.members.watch_mode(settings.watchers, now)
        } else {
            WatchMode::Off
        };
        let has_taken_over = self.members.has_taken_over();
        if has_taken_over && !self.had_taken_over {
            let age_ms = now.ms_since(self.members.confirmed_at());
            let (version, newest) = (self.spread.version(), self.spread.newest_version());
            log::info!("event=store-taken-over age_ms={age_ms} version={version} newest={newest}");
        }
        self.had_taken_over = has_taken_over;
        self.is_watching = mode != WatchMode::Off;
        self.is_leading = matches!(mode, WatchMode::Leading { .. });
        self.store.set_watch(mode);
        if now >= self.next_seeds_write_at {
            self.next_seeds_write_at = now.after_ms(SEEDS_WRITE_INTERVAL_MS);
            if self.is_watching {
                let wanted = select_seeds(self.members.present(), &settings.data_centre);
                self.store.replace_seeds(wanted);
            }
        }
    }

    /// Logs a version that is not in force in time. What is under way tells a version that no peer offers from a slow
    /// transfer and from a configuration that was refused, which has a line of its own.
    fn log_overdue(&self, overdue: OverdueVersion, now: TimePoint) {
        let OverdueVersion {
            version: newest,
            heard_at,
            sources,
            pulling,
        } = overdue;
        let (version, heard_ms) = (self.spread.version(), now.ms_since(heard_at));
        let (is_watching, has_taken_over) = (self.is_watching, self.had_taken_over);
        let age_ms = now.ms_since(self.members.confirmed_at());
        log::warn!(
            "event=version-overdue version={version} newest={newest} heard_ms={heard_ms} age_ms={age_ms} sources={sources} pulling={pulling} is_watching={is_watching} has_taken_over={has_taken_over}"
        );
    }

    /// Records the version of each pool of this daemon's service for which the configuration names none: the most
    /// frequent version among the serving targets, except the one that an open move leads to. Rendezvous hashing
    /// selects the daemon that records it among those beside these targets.
    pub(super) fn tick_versions(&mut self, now: TimePoint) {
        if now < self.next_version_check_at {
            return;
        }
        self.next_version_check_at = now.after_ms(VERSION_CHECK_INTERVAL_MS);
        let Some(table) = &self.table else { return };
        let service = &self.shared.settings.target.service;
        let unrecorded =
            |pool: &&Arc<CompiledPool>| pool.entry.service == *service && &*pool.entry.version == ANY_VERSION;
        for pool in table.pools.values().filter(unrecorded) {
            let moving_to = pool.order.as_ref().map_or("", |order| &order.to);
            let candidates = self.members.present().filter(|record| {
                record.target.service == *service
                    && record.target.status == TargetStatus::Serving
                    && *record.target.version != *moving_to
            });
            let candidates: Vec<&MemberRecord> = candidates.collect();
            let names = candidates.iter().map(|record| &*record.name);
            if best_ranked(&pool.name, names, 1) != [&*self.shared.settings.name] {
                continue;
            }
            let count = |version: &Arc<str>| {
                candidates
                    .iter()
                    .filter(|record| record.target.version == *version)
                    .count()
            };
            let versions = candidates.iter().map(|record| &record.target.version);
            if let Some(version) = versions.max_by_key(|version| count(version)) {
                self.store.record_version(&pool.name, version);
            }
        }
    }

    /// Pulls a newer configuration from a peer if one is due.
    pub(super) fn tick_pull(&mut self, now: TimePoint) {
        if let Some(source) = self.spread.next_pull(now) {
            let peer = source.from;
            self.client.request(
                self.control_peer(peer),
                self.ring.stamp(now),
                ControlRequest::Config(source.request),
                Some(ControlEvent::PullBegun { peer }),
                move |reply| {
                    let reply = match reply {
                        Some(ControlReply::Config(reply)) => Some(reply),
                        _ => None,
                    };
                    ControlEvent::PullDone { peer, reply }
                },
            );
        }
    }

    /// Handles a head read from the store, or the failure of the read.
    pub(super) fn finish_read(&mut self, result: Result<StoreReading, StoreError>, now: TimePoint) {
        match result {
            Ok(reading) => {
                if std::mem::take(&mut self.store_was_down) {
                    self.ring
                        .record(EventKind::StoreUp, "the store answers again", now);
                }
                if let Some(head) = reading.head {
                    let (offered, present) = (head.version, self.spread.version());
                    if offered < present {
                        log::warn!("event=store-behind offered={offered} present={present}");
                    }
                    let offer = self.spread.offer_stored(*head);
                    self.finish_offer(offer, "store", now);
                }
                self.spread.add_announced(reading.newest_version);
                self.spread.finish_read(reading.confirmed_at);
                let effects = self.members.confirm_read(reading.confirmed_at, now);
                self.apply_effects(effects, now);
            }
            Err(error) => {
                self.members.fail_read(self.shared.settings.watchers, now);
                if !std::mem::replace(&mut self.store_was_down, true) {
                    self.ring.record(EventKind::StoreDown, error.to_string(), now);
                }
            }
        }
    }

    /// Records the ends of moves again that are in force but were lost by the store. The leading daemon of each data centre
    /// does so; all but one of them find it done.
    pub(super) fn tick_restoring(&mut self, now: TimePoint) {
        let Some(head) = self.spread.head() else { return };
        let is_lost = VersionRank::of(head.version).lost_moves > 0;
        if !is_lost || !self.is_leading || now < self.next_restoring_at {
            return;
        }
        self.next_restoring_at = now.after_ms(RESTORING_INTERVAL_MS);
        for (name, row) in &head.pools {
            self.store
                .restore_version(name, &row.entry.version, MoveStamp::of(row.stamp));
        }
    }

    /// Handles a peer's reply to a pull; `None` if it did not answer.
    pub(super) fn finish_pull(&mut self, peer: SocketAddr, reply: Option<ConfigReply>, now: TimePoint) {
        let Some(reply) = reply else {
            log::info!("event=pull-failed peer={peer} version={}", self.spread.version());
            self.spread.fail_pull(peer);
            return;
        };
        if let Some(offer) = self.spread.finish_pull(peer, reply) {
            self.finish_offer(offer, "peer", now);
        }
    }

    /// Applies the table of an accepted offer, or records a refusal that indicates a fault.
    pub(super) fn finish_offer(
        &mut self,
        offer: Result<CompiledTable, OfferRefusal>,
        source: &str,
        now: TimePoint,
    ) {
        match offer {
            Ok(table) => self.apply_table(table, source, now),
            Err(refusal) if refusal.is_fault() => {
                self.shared.metrics.refused_offers.inc();
                self.ring
                    .record(EventKind::Refused, format!("source={source} {refusal}"), now);
            }
            Err(_) => {}
        }
    }

    /// Puts a table in force: notifies peers, records the version on the timeline and publishes a snapshot.
    pub(super) fn apply_table(&mut self, table: CompiledTable, source: &str, now: TimePoint) {
        let version = table.version;
        // Peers are notified first: if the process dies now, its successor gets the applied version from them.
        let effects = self.members.set_applied(version);
        self.apply_effects(effects, now);
        // A store without notes on the changes does not tell when they were requested.
        let requested_at = self
            .spread
            .head()
            .and_then(|head| head.changes.last().map(|note| note.at))
            .filter(|at| *at > TimePoint::default())
            .or(self.spread.heard_at());
        let delay_ms = requested_at.map_or(0, |at| now.ms_since(at));
        let edition = self.spread.head().map_or(0, |head| head.edition());
        let rank = VersionRank::of(version);
        if rank.has_lost_parts() {
            self.next_restoring_at = now;
            log::warn!("event=lost-parts-kept version={version} edition={edition} rank={rank:?}");
        }
        self.shared.metrics.convergence.observe(delay_ms as f64 / 1e3);
        self.shared.metrics.version.set(version as i64);
        self.ring.record(
            EventKind::Applied,
            format!("version={version} source={source} after_ms={delay_ms} edition={edition}"),
            now,
        );
        self.limit_cold_calls(&table);
        self.apply_evacuations(&table, now);
        let table = Arc::new(table);
        self.moves.set_table(&table, now);
        let is_open = |pool: &str, move_id: u64| {
            let order = table.pools.get(pool).and_then(|pool| pool.order.as_ref());
            order.is_some_and(|order| move_id == 0 || order.id == move_id)
        };
        self.shared.moves.lock().retain(is_open, now);
        self.table = Some(table);
        self.table_since = now;
        self.is_snapshot_stale = true;
        // First, as the table may be behind a version that the one before was not behind.
        self.publish_freshness();
        self.publish_snapshot();
        self.clear_evacuated_queue(now);
    }

    /// Sets the pace of calls while this daemon's target is cold, from the pools of its service.
    fn limit_cold_calls(&self, table: &CompiledTable) {
        let settings = &self.shared.settings;
        let own_pools = table
            .pools
            .values()
            .filter(|pool| pool.entry.service == settings.target.service);
        let calls_per_s = own_pools.filter_map(|pool| pool.entry.cold_calls_per_s).min();
        let limit = calls_per_s
            .zip(settings.cold_overshoot_percent)
            .map(|(calls_per_s, percent)| (u64::from(calls_per_s) * u64::from(percent) / 100) as u32);
        self.shared.gate.lock().state.cold().set_limit(limit);
    }

    /// Handles the result of writing the verdict of a move.
    pub(super) fn finish_verdict(
        &mut self,
        pool: &Arc<str>,
        move_id: u64,
        result: Result<u64, WriteError>,
        now: TimePoint,
    ) {
        match result {
            Ok(version) => {
                let in_time = self.moves.order(pool).is_some_and(|order| now <= order.finish_by);
                let decided = self
                    .moves
                    .controller(pool)
                    .and_then(|controller| controller.decided().cloned());
                let verdict = decided.map_or_else(String::new, |(verdict, _)| verdict.to_string());
                self.shared.metrics.count_closed_move(&verdict, in_time);
                let detail = format!("verdict={verdict} version={version} in_time={in_time}");
                self.ring
                    .record_move(EventKind::MoveClosed, pool, move_id, detail, now);
            }
            Err(error) => log::warn!("event=verdict-not-written pool={pool} move={move_id} error={error:?}"),
        }
        self.moves.finish_verdict(pool, move_id, now);
    }

    /// Publishes to the traffic threads whether the table in force is known to be the newest one. After a suspension
    /// others have to be heard first, as they may know of a newer version.
    pub(super) fn publish_freshness(&self) {
        let confirmed_at = self.members.confirmed_at();
        let current_until = if self.members.has_heard_since_resume() {
            let confirmed_until = confirmed_at.after_ms(CONFIRMATION_TTL_MS);
            confirmed_until.min(self.last_tick_at.after_ms(STALL_MS))
        } else {
            TimePoint::default()
        };
        self.shared
            .freshness
            .publish(self.spread.newest_version(), confirmed_at, current_until);
    }

    /// Logs each change of what is known of the table in force, and sets the gauge.
    pub(super) fn log_standing(&mut self, now: TimePoint) {
        let version = self.spread.version();
        let standing = self.shared.freshness.standing(version, now);
        if standing == self.standing {
            return;
        }
        let is_newer_known = standing == TableStanding::NewerKnown;
        self.shared
            .metrics
            .is_newer_version_known
            .set(i64::from(is_newer_known));
        let newest = self.spread.newest_version();
        let age_ms = now.ms_since(self.members.confirmed_at());
        log::info!(
            "event=table-standing standing={} version={version} newest={newest} age_ms={age_ms} before={} lasted_ms={}",
            standing.as_str(),
            self.standing.as_str(),
            now.ms_since(self.standing_since)
        );
        self.standing = standing;
        self.standing_since = now;
    }

    /// Publishes to the traffic threads until when the keys of the table in force may be used: no key can have been removed
    /// before the table was last known to be the newest one. A newer version that is not in force yet changes nothing, as it
    /// was accepted after that.
    pub(super) fn publish_keys(&mut self, now: TimePoint) {
        let Some(table) = &self.table else { return };
        if table.version >= self.spread.newest_version() {
            self.keys_confirmed_at = self.keys_confirmed_at.max(self.members.confirmed_at());
        }
        let until = match self.shared.settings.revoke_ms {
            0 => TimePoint::FAR_FUTURE,
            revoke_ms => self
                .keys_confirmed_at
                .after_ms(revoke_ms.saturating_sub(KEY_MARGIN_MS)),
        };
        self.shared.freshness.publish_keys(table.version, until);
        let are_confirmed = now < until;
        if table.needs_keys && are_confirmed != self.were_keys_confirmed {
            let age_ms = now.ms_since(self.keys_confirmed_at);
            let (version, newest) = (table.version, self.spread.newest_version());
            let event = if are_confirmed {
                "keys-confirmed"
            } else {
                "keys-unconfirmed"
            };
            log::warn!("event={event} version={version} newest={newest} age_ms={age_ms}");
        }
        self.were_keys_confirmed = are_confirmed;
    }

    /// Publishes a snapshot to the traffic threads if the current one is outdated, and drops the state of targets and
    /// pools that are no longer listed.
    pub(super) fn publish_snapshot(&mut self) {
        if !std::mem::take(&mut self.is_snapshot_stale) {
            return;
        }
        let settings = &self.shared.settings;
        let table = (self.table.clone(), self.table_since);
        let snapshot = TrafficSnapshot::new(table, self.members.present(), &settings.data_centre);
        let daemons = self.members.present().count();
        self.shared.metrics.members.set(daemons as i64);
        {
            let mut budget = self.shared.budget.lock();
            budget.set_daemon_count(settings.extra_retries, daemons);
            if let Some(table) = &self.table {
                budget.retain(|pool| table.pools.contains_key(pool));
            }
        }
        let listed: HashSet<Arc<str>> = snapshot
            .targets
            .values()
            .flatten()
            .map(|target| Arc::clone(&target.name))
            .collect();
        self.shared.selector.lock().retain(|name| listed.contains(name));
        self.shared.snapshot.store(Arc::new(snapshot));
    }
}
