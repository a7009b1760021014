//! Configuration: the watch on the store, pulls from peers, and the snapshot that traffic reads.

use {
    super::{ControlState, SEEDS_INTERVAL_MS},
    crate::{
        clock::TimePoint,
        config::{CompiledTable, ConfigHead},
        daemon::{
            envelope::{ControlReply, ControlRequest},
            seeds::{wanted_seeds, write_seeds},
            snapshot::TrafficSnapshot,
            store_watch::ask_store,
            tasks::ControlEvent,
        },
        member::is_among_best,
        spread::{ConfigReply, OfferRefusal},
        store::{StoreError, StoreValue, WriteError},
        timeline::EventKind,
    },
    std::{collections::HashSet, net::SocketAddr, sync::Arc},
};

/// Daemons in each data centre that hold a watch on the store.
const WATCHERS_PER_CENTRE: usize = 2;

impl ControlState {
    pub(super) fn tick_store(&mut self, now: TimePoint) {
        let settings = &self.shared.settings;
        let local = self
            .members
            .present()
            .filter(|record| record.data_centre == settings.data_centre);
        let job = format!("watch/{}", settings.data_centre);
        let names = local.map(|record| &*record.name);
        let is_watcher = is_among_best(&job, &settings.name, names, WATCHERS_PER_CENTRE);
        // A daemon that knows nobody yet leaves the store to those that do, for as long as it may still join.
        let may_ask = self.join.has_synced || now >= self.join.limit || settings.peers.is_empty();
        if is_watcher
            && may_ask
            && let Some(index) = self.watch.next_call(now)
        {
            ask_store(&self.shared, &self.store, &self.events, index);
        }
        if now >= self.seeds_at {
            self.seeds_at = now.after_ms(SEEDS_INTERVAL_MS);
            if is_watcher {
                let wanted = wanted_seeds(self.members.present(), &settings.data_centre);
                self.shared.metrics.store_calls.inc_by(2);
                write_seeds(&self.store, Arc::clone(&settings.data_centre), wanted);
            }
        }
    }

    /// Pulls from a peer that has something newer.
    pub(super) fn tick_pull(&mut self, now: TimePoint) {
        if let Some(source) = self.spread.next_pull(now) {
            let peer = source.from;
            self.client.request(
                peer,
                self.ring.stamp(now),
                ControlRequest::Config(source.request),
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

    pub(super) fn finish_read(&mut self, result: Result<Option<StoreValue>, StoreError>, now: TimePoint) {
        match result {
            Ok(value) => {
                self.watch
                    .succeed(value.as_ref().map_or(0, |value| value.index), now);
                if std::mem::take(&mut self.store_was_down) {
                    self.ring
                        .record(EventKind::StoreUp, "the store answers again", now);
                }
                if let Some(value) = value {
                    self.offer_stored(&value.data, now);
                }
            }
            Err(error) => {
                self.watch.fail(now);
                if !std::mem::replace(&mut self.store_was_down, true) {
                    self.ring.record(EventKind::StoreDown, error.to_string(), now);
                }
            }
        }
    }

    pub(super) fn offer_stored(&mut self, data: &[u8], now: TimePoint) {
        match ConfigHead::open(data) {
            Ok(head) => {
                let offer = self.spread.offer_stored(head);
                self.finish_offer(offer, "store", now);
            }
            Err(error) => self.finish_offer(Err(error.into()), "store", now),
        }
    }

    pub(super) fn finish_pull(&mut self, peer: SocketAddr, reply: Option<ConfigReply>, now: TimePoint) {
        let Some(reply) = reply else {
            self.spread.fail_pull(peer);
            return;
        };
        if let Some(offer) = self.spread.finish_pull(peer, reply) {
            self.finish_offer(offer, "peer", now);
        }
    }

    pub(super) fn finish_offer(
        &mut self,
        offer: Result<CompiledTable, OfferRefusal>,
        source: &str,
        now: TimePoint,
    ) {
        match offer {
            Ok(table) => self.put_in_force(table, source, now),
            Err(refusal) if refusal.is_fault() => {
                self.shared.metrics.refused_offers.inc();
                self.ring
                    .record(EventKind::Refused, format!("source={source} {refusal}"), now);
            }
            Err(_) => {}
        }
    }

    pub(super) fn put_in_force(&mut self, table: CompiledTable, source: &str, now: TimePoint) {
        let version = table.version;
        // Others are told first: should this process die now, its successor learns what it had applied.
        let effects = self.members.set_applied(version);
        self.carry_out(effects, now);
        let accepted_at = self
            .spread
            .head()
            .and_then(|head| head.changes.last().map(|note| note.at));
        let delay_ms = accepted_at.map_or(0, |at| now.ms_since(at));
        self.shared.metrics.convergence.observe(delay_ms as f64 / 1e3);
        self.shared.metrics.version.set(version as i64);
        self.ring.record(
            EventKind::Applied,
            format!("version={version} source={source} after_ms={delay_ms}"),
            now,
        );
        let table = Arc::new(table);
        self.moves.set_table(&table, now);
        let is_open = |pool: &str, move_id: u64| {
            let order = table.pools.get(pool).and_then(|pool| pool.order.as_ref());
            order.is_some_and(|order| move_id == 0 || order.id == move_id)
        };
        self.shared.moves.lock().retain(is_open, now);
        self.table = Some(table);
        self.is_stale = true;
        self.publish_snapshot();
    }

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

    pub(super) fn publish_snapshot(&mut self) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let settings = &self.shared.settings;
        let snapshot =
            TrafficSnapshot::new(self.table.clone(), self.members.present(), &settings.data_centre);
        self.shared
            .metrics
            .members
            .set(self.members.present().count() as i64);
        let known: HashSet<Arc<str>> = snapshot
            .targets
            .values()
            .flatten()
            .map(|target| Arc::clone(&target.name))
            .collect();
        self.shared.book.lock().retain(|name| known.contains(name));
        self.shared.snapshot.store(Arc::new(snapshot));
    }
}
