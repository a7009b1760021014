//! Rendezvous ranking: daemons that see the same members agree on who does a job without talking.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the names with the `count` highest ranks for a job.
pub fn best_ranked<'a>(job: &str, names: impl Iterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(job.as_bytes(), 0);
    let mut ranked: Vec<(u64, &str)> = names
        .map(|name| (xxh3_64_with_seed(name.as_bytes(), seed), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, name)| name).collect()
}

/// Tells whether `own` is among the `count` best of `names` for a job.
pub fn is_among_best<'a>(job: &str, own: &str, names: impl Iterator<Item = &'a str>, count: usize) -> bool {
    best_ranked(job, names, count).contains(&own)
}
