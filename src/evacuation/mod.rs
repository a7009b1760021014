//! Evacuation of data centres: targets of an evacuated one get no calls until that is taken back.

mod orders;

pub use orders::{EvacuationChange, EvacuationEdit, EvacuationOrders};
