//! Rendezvous hashing: daemons with the same member list select the same daemons for a job without any messages.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the `count` names with the highest hashes for a job, highest first; all names if there are fewer.
pub fn best_ranked<'a>(job: &str, names: impl Iterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(job.as_bytes(), 0);
    let mut ranked: Vec<(u64, &str)> = names
        .map(|name| (xxh3_64_with_seed(name.as_bytes(), seed), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, name)| name).collect()
}
