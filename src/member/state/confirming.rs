//! Inquiries about the confirmation of the configuration, and who watches the store.

use {
    super::{MemberEffect, MemberState},
    crate::{
        clock::TimePoint,
        member::{
            confirmation::{KnownVersion, TakeoverPace, WatchMode, WatchRole},
            message::ProbeKind,
            rank::best_ranked,
            record::{MemberRecord, MemberStatus},
        },
    },
    indexmap::IndexSet,
    std::{net::SocketAddr, sync::Arc},
};

/// Number of daemons of the own data centre that are asked before others.
const ASKED_WATCHERS: usize = 3;
/// Number of daemons, next in rank to those that watch the store or are asked, that take their place before any other.
const REPLACEMENTS: usize = 3;

impl MemberState {
    /// Returns since when this daemon can't have missed an accepted version.
    pub fn confirmed_at(&self) -> TimePoint {
        self.confirmation.confirmed_at()
    }

    /// Returns whether a useful answer of the store or of another daemon has come to a call or inquiry that was sent
    /// since this process started or continued after a suspension.
    pub fn has_heard_since_resume(&self) -> bool {
        self.confirmation.has_heard_since_resume()
    }

    /// Records a read of the store by this daemon that showed every version accepted up to `confirmed_at`. A daemon
    /// that others don't ask, as they rank higher, offers its confirmation to the first of each data centre; every
    /// daemon offers it to those that asked in vain before.
    pub fn confirm_read(&mut self, confirmed_at: TimePoint, now: TimePoint) -> Vec<MemberEffect> {
        self.confirmation.confirm_read(confirmed_at);
        let mut offered_to = self.confirmation.take_waiting(now);
        if self.confirmation.has_taken_over() {
            offered_to.extend(self.first_of_each_centre());
        }
        self.offer_confirmation(offered_to, now);
        std::mem::take(&mut self.effects)
    }

    /// Returns whether this daemon reads the store in place of those that rank higher.
    pub fn has_taken_over(&self) -> bool {
        self.confirmation.has_taken_over()
    }

    /// Records a failed read of the store, where `watchers` daemons of each data centre watch it.
    pub fn fail_read(&mut self, watchers: usize, now: TimePoint) {
        let role = watch_role(self.own_rank(), watchers);
        let pace = self.takeover_pace();
        self.confirmation.fail_read(role, now, pace, &mut self.rng);
    }

    /// Sets the newest version that this daemon has heard of, which it tells others.
    pub fn set_newest_version(&mut self, version: u64) {
        self.confirmation.set_newest_version(version);
    }

    /// Sets when this daemon reads the store although its confirmation lasts, as no peer delivers what it knows of.
    /// `is_urgent` tells that it is in force elsewhere.
    pub fn set_read_due_at(&mut self, due_at: TimePoint, is_urgent: bool) {
        self.confirmation.set_read_due_at(due_at, is_urgent);
    }

    /// Returns how this daemon watches the store from `now` on: `watchers` daemons of each data centre do, of which the
    /// first leads, and others that get no confirmation.
    pub fn watch_mode(&mut self, watchers: usize, now: TimePoint) -> WatchMode {
        let rank = self.own_rank();
        let role = watch_role(rank, watchers);
        let pace = self.takeover_pace();
        self.confirmation
            .watch_mode(rank == Some(0), role, now, pace, &mut self.rng)
    }

    /// Starts anew after a suspension: a probe, an inquiry and, at a leading daemon, a read of the store are due at
    /// once.
    pub fn resume(&mut self, now: TimePoint) {
        self.probe_at(now);
        self.confirmation.resume(now);
    }

    /// Asks the next daemon about its confirmation when that is due.
    pub(super) fn tick_confirmation(&mut self, now: TimePoint) {
        if !self.confirmation.is_inquiry_due(now) {
            return;
        }
        self.confirmation.next_turn(now);
        if self.confirmation.reads_itself(now) && self.own_rank() == Some(0) {
            self.confirmation.start_inquiry(None, now);
            return;
        }
        let asked = self.inquiry_peer().map(|address| {
            self.seq += 1;
            (address, self.seq)
        });
        self.confirmation.start_inquiry(asked, now);
        if let Some((address, seq)) = asked {
            self.send_with(address, ProbeKind::Inquiry { seq }, Vec::new());
        }
    }

    fn offer_confirmation(&mut self, offered_to: IndexSet<SocketAddr>, now: TimePoint) {
        let Some(known) = self.confirmation.known(now) else {
            return;
        };
        for address in offered_to {
            let known = known.clone();
            self.send_with(address, ProbeKind::Confirmation { seq: 0, known }, Vec::new());
        }
    }

    /// Answers an inquiry.
    pub(super) fn answer_inquiry(&mut self, from: SocketAddr, seq: u64, now: TimePoint) {
        self.confirmation.note_asker(from, now);
        if let Some(known) = self.confirmation.known(now) {
            self.send_with(from, ProbeKind::Confirmation { seq, known }, Vec::new());
        }
    }

    /// Handles the answer to an inquiry.
    pub(super) fn finish_inquiry(
        &mut self,
        from: SocketAddr,
        seq: u64,
        known: &KnownVersion,
        now: TimePoint,
    ) {
        let had_read_itself = self.confirmation.reader() == Some(self.own.control);
        let reads_itself = self.confirmation.reads_itself(now);
        let Some(version) = self.confirmation.finish_inquiry(seq, known, now) else {
            self.confirmation.note_offer(from, now);
            return;
        };
        self.effects.push(MemberEffect::Announced { version });
        let waiting = self.confirmation.take_waiting(now);
        self.offer_confirmation(waiting, now);
        // A data centre keeps a daemon that reads the store, if one of those that are asked can.
        let is_asked = self.own_rank().is_some_and(|rank| rank < ASKED_WATCHERS);
        if reads_itself && is_asked && !self.is_local(known.reader) {
            return;
        }
        let is_reader_first = self.is_first(known.reader);
        self.confirmation
            .yield_to(known, is_reader_first, had_read_itself);
    }

    /// Returns the daemon to ask next, of those that were not asked in vain: those that rank highest in the own data
    /// centre, then the one whose read of the store the present confirmation rests on, then those that replace the
    /// first ones, then any other.
    fn inquiry_peer(&mut self) -> Option<SocketAddr> {
        if let Some(offering) = self.confirmation.take_offer() {
            return Some(offering);
        }
        let own_name = &self.own.name;
        let ranked = self.ranked(&self.own.data_centre, ASKED_WATCHERS + REPLACEMENTS + 1);
        let ranked = ranked.into_iter().filter(|name| **name != **own_name);
        let ranked = ranked.filter_map(|name| self.record_of(name));
        let mut peers: Vec<SocketAddr> = ranked.map(|record| record.control).collect();
        let reader = self.confirmation.reader();
        if let Some(reader) = reader.filter(|reader| *reader != self.own.control) {
            peers.insert(peers.len().min(ASKED_WATCHERS), reader);
        }
        let next = peers.iter().find(|peer| !self.confirmation.is_unhelpful(**peer));
        let next = next.copied();
        next.or_else(|| self.random_peers(1, None).pop())
            .or(peers.first().copied())
    }

    /// Returns the control addresses of the other daemons that rank highest in their data centre.
    fn first_of_each_centre(&self) -> Vec<SocketAddr> {
        let centres: IndexSet<&Arc<str>> = self.present().map(|record| &record.data_centre).collect();
        let first = centres.into_iter().flat_map(|centre| self.ranked(centre, 1));
        first
            .filter(|name| **name != *self.own.name)
            .filter_map(|name| self.record_of(name))
            .map(|record| record.control)
            .collect()
    }

    /// Returns whether the daemon with this control address ranks highest in its data centre.
    fn is_first(&self, control: SocketAddr) -> bool {
        let record = self.other_at(control);
        record.is_some_and(|record| self.ranked(&record.data_centre, 1) == [&*record.name])
    }

    /// Returns whether the daemon with this control address is in the own data centre.
    fn is_local(&self, control: SocketAddr) -> bool {
        let record = self.other_at(control);
        record.is_some_and(|record| record.data_centre == self.own.data_centre)
    }

    fn other_at(&self, control: SocketAddr) -> Option<&MemberRecord> {
        self.others().find(|record| record.control == control)
    }

    /// Returns the place of this daemon among those of its data centre that rank for the watch of the store.
    fn own_rank(&self) -> Option<usize> {
        let ranked = self.ranked(&self.own.data_centre, usize::MAX);
        ranked.iter().position(|name| **name == *self.own.name)
    }

    /// Returns the daemons of a data centre that rank highest for the watch of the store, without suspects.
    fn ranked(&self, data_centre: &str, count: usize) -> Vec<&str> {
        let present = self.present();
        let local = present.filter(|record: &&MemberRecord| {
            *record.data_centre == *data_centre && record.status == MemberStatus::Alive
        });
        let job = format!("watch/{data_centre}");
        best_ranked(&job, local.map(|record| &*record.name), count)
    }

    fn takeover_pace(&self) -> TakeoverPace {
        TakeoverPace {
            daemons: self.present().count() as u64,
        }
    }
}

/// Returns what a rank asks of a daemon, where `watchers` daemons of each data centre watch the store.
fn watch_role(rank: Option<usize>, watchers: usize) -> WatchRole {
    match rank {
        Some(rank) if rank < watchers => WatchRole::Watcher,
        Some(rank) if rank < watchers + REPLACEMENTS => WatchRole::Replacement(rank - watchers),
        _ => WatchRole::Other,
    }
}
