//! Reloading of the settings while the daemon runs.

use {
    super::ControlState,
    crate::{clock::TimePoint, file_watch::FileWatch, settings::DaemonSettings},
};

/// Time between two looks at the settings file, in milliseconds: a change without a signal may take as long as one of the
/// configuration.
const SETTINGS_CHECK_INTERVAL_MS: u64 = 1_000;

impl ControlState {
    /// Reads the settings again when their file has changed without a signal.
    pub(super) fn tick_settings(&mut self, now: TimePoint) {
        if now < self.settings_at {
            return;
        }
        self.settings_at = now.after_ms(SETTINGS_CHECK_INTERVAL_MS);
        if self.settings_file.as_mut().is_some_and(FileWatch::has_changed) {
            self.reload(now);
        }
    }

    /// Reads the settings file again. New peers are joined; every other key needs a restart, which the log says.
    pub(super) fn reload(&mut self, now: TimePoint) {
        let present = &self.shared.settings;
        let Some(path) = &present.file else {
            log::info!("event=reload outcome=no-file");
            return;
        };
        let settings = match DaemonSettings::load(path) {
            Ok(settings) => settings,
            Err(error) => {
                log::warn!("event=reload outcome=refused error={error:?}");
                return;
            }
        };
        let new_peers = settings
            .peers
            .iter()
            .filter(|peer| !self.join.contacts.contains(peer));
        let new_peers: Vec<_> = new_peers.copied().collect();
        let needs_restart = DaemonSettings {
            peers: present.peers.clone(),
            ..settings
        } != **present;
        log::info!(
            "event=reload outcome=done new_peers={} needs_restart={needs_restart}",
            new_peers.len()
        );
        for peer in &new_peers {
            self.start_sync(*peer, Vec::new(), now);
        }
        self.join.contacts.extend(new_peers);
    }
}
