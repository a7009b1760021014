//! Immutable view of configuration and targets for the traffic threads; the control thread replaces it as a whole.

use {
    crate::{
        clock::TimePoint,
        config::{CompiledTable, matches_version},
        member::{MemberRecord, MemberStatus, TargetStatus},
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// A target that accepts calls.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingTarget {
    /// Name of the target's daemon.
    pub name: Arc<str>,
    /// Identity of the target.
    pub id: Arc<str>,
    /// Address of the target's gate.
    pub gate: SocketAddr,
    /// Version of the target.
    pub version: Arc<str>,
    /// Number of calls that the target serves concurrently.
    pub slots: u32,
    /// Whether the target is in this daemon's data centre.
    pub is_near: bool,
    /// Whether the target's daemon is suspected to have failed.
    pub is_suspect: bool,
}

/// Configuration and targets at one point in time.
#[derive(Debug, Clone, Default)]
pub struct TrafficSnapshot {
    /// The configuration; `None` before the first one.
    pub table: Option<Arc<CompiledTable>>,
    /// Since when it has been in force.
    pub table_since: TimePoint,
    /// Targets that accept calls, by service.
    pub targets: HashMap<Arc<str>, Vec<ServingTarget>>,
}

impl TrafficSnapshot {
    /// Creates a snapshot from the configuration and the members that are present and whose target is serving, outside
    /// evacuated data centres.
    pub fn new<'a>(
        (table, table_since): (Option<Arc<CompiledTable>>, TimePoint),
        members: impl Iterator<Item = &'a MemberRecord>,
        data_centre: &str,
    ) -> Self {
        let mut targets: HashMap<Arc<str>, Vec<ServingTarget>> = HashMap::new();
        let is_evacuated = |data_centre: &str| {
            let evacuations = table.as_ref().map(|table| &table.evacuations);
            evacuations.is_some_and(|evacuations| evacuations.contains(data_centre))
        };
        let serving = members.filter(|record| {
            record.status.is_present()
                && record.target.status == TargetStatus::Serving
                && !is_evacuated(&record.data_centre)
        });
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
        Self {
            table,
            table_since,
            targets,
        }
    }

    /// Returns the targets of a service with this version. The wildcard version matches every version except
    /// `moving_to`, the new version of an open move.
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
