//! What traffic threads read: an immutable view that the control thread swaps in whole.

use {
    crate::{
        config::{CompiledTable, matches_version},
        member::{MemberRecord, MemberStatus, TargetStatus},
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// A target that takes work.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingTarget {
    /// Name of its daemon.
    pub name: Arc<str>,
    /// Identity of the target.
    pub id: Arc<str>,
    /// Address of its gate.
    pub gate: SocketAddr,
    /// Its version.
    pub version: Arc<str>,
    /// Calls that it serves at once.
    pub slots: u32,
    /// Whether it is in this daemon's data centre.
    pub is_near: bool,
    /// Whether its daemon is under suspicion.
    pub is_suspect: bool,
}

/// Configuration and targets as of one moment.
#[derive(Debug, Clone, Default)]
pub struct TrafficSnapshot {
    /// The configuration; `None` before the first one.
    pub table: Option<Arc<CompiledTable>>,
    /// Targets that take work, by service.
    pub targets: HashMap<Arc<str>, Vec<ServingTarget>>,
}

impl TrafficSnapshot {
    /// Makes a snapshot from the configuration and the members present.
    pub fn new<'a>(
        table: Option<Arc<CompiledTable>>,
        members: impl Iterator<Item = &'a MemberRecord>,
        data_centre: &str,
    ) -> Self {
        let mut targets: HashMap<Arc<str>, Vec<ServingTarget>> = HashMap::new();
        let serving = members
            .filter(|record| record.status.is_present() && record.target.status == TargetStatus::Serving);
        for record in serving {
            targets
                .entry(Arc::clone(&record.target.service))
                .or_default()
                .push(ServingTarget {
                    name: Arc::clone(&record.name),
                    id: Arc::clone(&record.target.id),
                    gate: record.gate,
                    version: Arc::clone(&record.target.version),
                    slots: record.target.slots,
                    is_near: *record.data_centre == *data_centre,
                    is_suspect: record.status == MemberStatus::Suspect,
                });
        }
        Self { table, targets }
    }

    /// Returns the targets of one version of a service, or of any but the one that the service moves to.
    pub fn targets_of<'a>(
        &'a self,
        service: &str,
        version: &'a str,
        moving_to: &'a str,
    ) -> impl Iterator<Item = &'a ServingTarget> {
        let all = self.targets.get(service).map_or(&[][..], Vec::as_slice);
        all.iter().filter(move |target| {
            *target.version == *version
                || (*target.version != *moving_to && matches_version(version, &target.version))
        })
    }
}
