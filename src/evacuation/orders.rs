//! The orders in force, and what a newer list of them changes for a daemon.

use {crate::macros::value_type, indexmap::IndexMap, std::sync::Arc};

value_type! {
    /// Evacuated data centres by name, each with the version of its order.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct EvacuationOrders(IndexMap<Arc<str>, u64>);
}

value_type! {
    /// An operator's wish for a data centre.
    pub struct EvacuationEdit {
        /// Name of the data centre.
        pub data_centre: Arc<str>,
        /// Whether its evacuation is taken back.
        pub is_back: bool,
    }
}

/// What became of the order of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationChange {
    /// It is evacuated, and was not before or by an earlier order.
    Ordered,
    /// The evacuation was taken back.
    TakenBack,
}

impl EvacuationOrders {
    /// Makes an edit in a configuration version.
    pub fn apply(&mut self, edit: &EvacuationEdit, version: u64) {
        if edit.is_back {
            self.take_back(&edit.data_centre);
        } else {
            self.order(&edit.data_centre, version);
        }
    }

    /// Orders the evacuation of a data centre. One that is evacuated already keeps its order.
    pub fn order(&mut self, data_centre: &Arc<str>, version: u64) {
        self.0.entry(Arc::clone(data_centre)).or_insert(version);
    }

    /// Takes the evacuation of a data centre back. Returns whether it was evacuated.
    pub fn take_back(&mut self, data_centre: &str) -> bool {
        self.0.shift_remove(data_centre).is_some()
    }

    /// Keeps the orders of the data centres for which `is_kept` returns true. Returns whether any was taken back.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) -> bool {
        let count = self.0.len();
        self.0.retain(|data_centre, _| is_kept(data_centre));
        self.0.len() < count
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.0.contains_key(data_centre)
    }

    /// Returns whether no data centre is evacuated.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the evacuated data centres.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.keys()
    }

    /// Sorts the orders by name, which their list doesn't depend on.
    pub fn sort(&mut self) {
        self.0.sort_keys();
    }

    /// Returns what this list changes after `former`, by data centre. An order that was taken back and given again between
    /// the two counts as given.
    pub fn changes_since(&self, former: &Self) -> Vec<(Arc<str>, EvacuationChange)> {
        let ordered = self
            .0
            .iter()
            .filter(|(name, version)| former.0.get(*name) != Some(*version));
        let ordered = ordered.map(|(name, _)| (Arc::clone(name), EvacuationChange::Ordered));
        let taken_back = former.0.keys().filter(|name| !self.contains(name));
        let taken_back = taken_back.map(|name| (Arc::clone(name), EvacuationChange::TakenBack));
        ordered.chain(taken_back).collect()
    }
}
