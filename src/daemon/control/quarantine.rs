//! Quarantine: tells other daemons of requests that end targets.

use {
    super::ControlState,
    crate::{
        clock::TimePoint,
        member::ProbeKind,
        quarantine::{QuarantineNotice, RequestFingerprint},
        timeline::EventKind,
    },
    std::net::SocketAddr,
};

/// Times after which a notice is sent once more, as datagrams may be lost, in milliseconds.
const REPEATS_MS: [u64; 2] = [250, 1_000];
/// Time after which a repetition is left out, as this process was suspended, in milliseconds.
const REPEAT_LIMIT_MS: u64 = 5_000;
/// Time between two removals of outdated suspects, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;
/// Maximum number of notices that wait for their repetition.
const MAX_REPEATED: usize = 256;

/// Notice that is sent once more.
#[derive(Debug, Clone)]
pub(super) struct RepeatedNotice {
    notice: QuarantineNotice,
    due_at: TimePoint,
}

impl ControlState {
    /// Sends news of the gate beside this daemon's target to all daemons, now and twice more.
    pub(super) fn publish_notice(&mut self, notice: &QuarantineNotice, now: TimePoint) {
        match notice {
            QuarantineNotice::Ended(end) => {
                let detail = format!("end={:016x} version={}", end.id.0, end.version);
                self.ring.record(EventKind::TargetEnded, detail, now);
                let held = self.shared.quarantine.lock().held_by(end, now);
                self.record_held(&held, now);
            }
            QuarantineNotice::Cleared { fingerprint, version } => {
                self.shared.metrics.cleared_requests.inc();
                let detail = format!("fingerprint={fingerprint} version={version} it ran well here");
                self.ring.record(EventKind::RequestCleared, detail, now);
            }
            QuarantineNotice::Known(_) => {}
        }
        self.send_notice(notice, now);
        if self.repeated_notices.len() < MAX_REPEATED {
            let repeats = REPEATS_MS.map(|after_ms| RepeatedNotice {
                notice: notice.clone(),
                due_at: now.after_ms(after_ms),
            });
            self.repeated_notices.extend(repeats);
        }
    }

    /// Handles a notice of another daemon. The first daemon of a data centre that hears of it tells the others there.
    pub(super) fn receive_notice(&mut self, from: SocketAddr, notice: &QuarantineNotice, now: TimePoint) {
        let (is_new, held) = self.shared.quarantine.lock().receive(notice, now);
        self.shared.turn_ended.notify_waiters();
        self.record_held(&held, now);
        if is_new && !self.members.is_near(from) {
            for peer in self.members.near_peers() {
                let kind = ProbeKind::Quarantine(notice.clone());
                self.send_plain(peer, kind, now);
            }
        }
    }

    /// Repeats notices and removes outdated suspects.
    pub(super) fn tick_quarantine(&mut self, now: TimePoint) {
        let is_due = |repeated: &mut RepeatedNotice| repeated.due_at <= now;
        let due: Vec<RepeatedNotice> = self.repeated_notices.extract_if(.., is_due).collect();
        for RepeatedNotice { notice, due_at } in due {
            if now.ms_since(due_at) <= REPEAT_LIMIT_MS {
                self.send_notice(&notice, now);
            }
        }
        if now >= self.next_suspects_expiry_at {
            self.next_suspects_expiry_at = now.after_ms(EXPIRY_INTERVAL_MS);
            self.shared.quarantine.lock().expire(now);
        }
    }

    /// Tells a daemon that compares its members with this one's of suspects, which it may have missed: it has just started,
    /// or notices were lost.
    pub(super) fn send_suspects(&mut self, peer: SocketAddr, now: TimePoint) {
        let news = self.shared.quarantine.lock().news(now);
        if let Some(notice) = news {
            self.send_plain(peer, ProbeKind::Quarantine(notice), now);
        }
    }

    fn record_held(&mut self, held: &[RequestFingerprint], now: TimePoint) {
        for fingerprint in held {
            self.shared.metrics.held_requests.inc();
            let detail = format!("fingerprint={fingerprint} targets ended under it");
            self.ring.record(EventKind::RequestHeld, detail, now);
        }
    }

    fn send_notice(&mut self, notice: &QuarantineNotice, now: TimePoint) {
        for peer in self.members.broadcast_peers() {
            self.send_plain(peer, ProbeKind::Quarantine(notice.clone()), now);
        }
    }

    pub(super) fn send_plain(&mut self, to: SocketAddr, kind: ProbeKind, now: TimePoint) {
        let message = self.members.message(kind);
        self.send_datagram(to, message, now);
    }
}
