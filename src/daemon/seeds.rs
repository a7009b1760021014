//! Addresses to join at, kept in the store for the case that no peer of the settings answers.

use {
    super::edges::EdgeContext,
    crate::{
        codec,
        macros::value_type,
        member::{MemberRecord, best_ranked},
        store::{HttpStore, SEEDS_PREFIX, StoreClient},
    },
    indexmap::IndexMap,
    std::{net::SocketAddr, sync::Arc},
};

/// Addresses kept for each data centre.
const SEEDS_PER_DATA_CENTRE: usize = 3;

value_type! {
    /// The stored value: control addresses by data centre.
    #[derive(Default)]
    pub struct SeedTable {
        /// Addresses by data centre.
        pub centres: IndexMap<Arc<str>, Vec<SocketAddr>>,
    }
}

/// Returns the addresses that should stand in the store for a data centre.
pub fn select_seeds<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
    data_centre: &str,
) -> Vec<SocketAddr> {
    let local: IndexMap<&str, SocketAddr> = members
        .filter(|record| *record.data_centre == *data_centre)
        .map(|record| (&*record.name, record.control))
        .collect();
    let mut seeds: Vec<SocketAddr> = best_ranked("seeds", local.keys().copied(), SEEDS_PER_DATA_CENTRE)
        .into_iter()
        .filter_map(|name| local.get(name).copied())
        .collect();
    seeds.sort_unstable();
    seeds
}

/// Reads all seeds; where the own data centre has none, puts the own address there first.
pub fn read_seeds(store: &HttpStore, context: &EdgeContext, own: SocketAddr) {
    let (store, inbox) = (store.clone(), context.inbox.clone());
    let data_centre = Arc::clone(&context.settings.data_centre);
    tokio::spawn(async move {
        let table = update_seeds(&store, &data_centre, |seeds| {
            if seeds.is_empty() {
                seeds.push(own);
            }
        });
        let seeds = table
            .await
            .unwrap_or_default()
            .centres
            .into_values()
            .flatten()
            .filter(|seed| *seed != own);
        inbox.seeds_read(seeds.collect()).await;
    });
}

/// Writes the seeds of a data centre.
pub fn write_seeds(store: &HttpStore, data_centre: Arc<str>, wanted: Vec<SocketAddr>) {
    let store = store.clone();
    tokio::spawn(async move {
        update_seeds(&store, &data_centre, |seeds| seeds.clone_from(&wanted)).await;
    });
}

/// Changes one data centre's seeds by compare-and-swap; returns the table, or `None` if the store is down.
async fn update_seeds(
    store: &HttpStore,
    data_centre: &Arc<str>,
    change: impl Fn(&mut Vec<SocketAddr>),
) -> Option<SeedTable> {
    let key = format!("{SEEDS_PREFIX}/mesh");
    for _ in 0..4 {
        let value = store.read(&key).await.ok()?;
        let before: SeedTable = value
            .as_ref()
            .and_then(|value| codec::decode(&value.data).ok())
            .unwrap_or_default();
        let mut table = before.clone();
        change(table.centres.entry(Arc::clone(data_centre)).or_default());
        if table == before {
            return Some(table);
        }
        let bytes = codec::encode(&table).ok()?;
        if store
            .swap(&key, bytes, value.map_or(0, |value| value.index))
            .await
            .ok()?
        {
            return Some(table);
        }
    }
    None
}
