//! Reloading of the settings at run time.

use {
    super::ControlState,
    crate::{clock::TimePoint, file_watch::FileWatch, settings::DaemonSettings},
};

/// Time between two checks of the settings file, in milliseconds. A change of it without a signal may take as long to
/// be applied as a change of the configuration.
const SETTINGS_CHECK_INTERVAL_MS: u64 = 1_000;

impl ControlState {
    /// Reloads the settings if their file has changed without a signal.
    pub(super) fn tick_settings(&mut self, now: TimePoint) {
        if now < self.next_settings_check_at {
            return;
        }
        self.next_settings_check_at = now.after_ms(SETTINGS_CHECK_INTERVAL_MS);
        if self.settings_file.as_mut().is_some_and(FileWatch::has_changed) {
            self.reload(now);
        }
    }

    /// Reloads the settings file. New peers are contacted; a change of any other key needs a restart, which is logged.
    pub(super) fn reload(&mut self, now: TimePoint) {
        let current = &self.shared.settings;
        let Some(path) = &current.file else {
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
            peers: current.peers.clone(),
            ..settings
        } != **current;
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
