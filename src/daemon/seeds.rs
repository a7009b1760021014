//! Seeds: control addresses of daemons, stored so that a daemon can join if no peer of its settings answers.

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

/// Number of addresses stored for each data centre.
const SEEDS_PER_DATA_CENTRE: usize = 3;

value_type! {
    /// Stored value of the seeds.
    #[derive(Default)]
    pub struct SeedTable {
        /// Control addresses by data centre.
        pub centres: IndexMap<Arc<str>, Vec<SocketAddr>>,
    }
}

/// Selects the addresses to store for a data centre from its members by rendezvous hashing, and sorts them.
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

/// Reads the seeds of all data centres and reports them without `own`, the address of this daemon. If its data centre
/// has no seeds, `own` is stored as the first one. Reports an empty list if that fails.
pub fn read_seeds(store: &HttpStore, context: &EdgeContext, own: SocketAddr) {
    let (store, inbox) = (store.clone(), context.inbox.clone());
    let data_centre = Arc::clone(&context.settings.data_centre);
    tokio::spawn(async move {
        let table = update_seeds(&store, &data_centre, |seeds| {
            if seeds.is_empty() {
                seeds.push(own);
            }
        });
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (centre, seeds) in table.await.unwrap_or_default().centres {
            let wanted = seeds.into_iter().filter(|seed| *seed != own);
            if centre == data_centre {
                &mut near
            } else {
                &mut far
            }
            .extend(wanted);
        }
        inbox.seeds_read(near, far).await;
    });
}

/// Replaces the stored seeds of a data centre in the background.
pub fn write_seeds(store: &HttpStore, data_centre: Arc<str>, wanted: Vec<SocketAddr>) {
    let store = store.clone();
    tokio::spawn(async move {
        update_seeds(&store, &data_centre, |seeds| seeds.clone_from(&wanted)).await;
    });
}

/// Changes the seeds of a data centre by compare-and-swap in up to four attempts. A stored value that can't be decoded
/// counts as empty. Returns the table, or `None` if the store can't be reached or another writer interfered each time.
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
