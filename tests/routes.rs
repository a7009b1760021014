//! Routes: matching of requests by host and path, choice of the pool by weight, and the keys of a route.

use {
    fuchsiashore::config::{
        CompiledTable, ConfigHead, ConfigTables, PoolShare, RouteEntry, RouteMatch, Stamped, diff_tables,
        parse_tables, render_tables,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TABLES: &str = "\
[route shop]
host = shop.example
path = /stock/
pool = desk:90 trial:10
priority = 2
target_latency_ms = 600
attempts = 2

[route any]
path = /stock
pool = desk

[route deep]
host = shop.example
path = /stock/deep/
pool = trial

[pool desk]
service = desk
version = v1

[pool trial]
service = trial
version = v1
";

fn tables(text: &str) -> ConfigTables {
    parse_tables(&[("tables.ini".into(), text.to_owned())]).unwrap()
}

fn compiled(tables: &ConfigTables) -> CompiledTable {
    let head = ConfigHead {
        version: 1,
        routes: stamped(&tables.routes),
        pools: stamped(&tables.pools),
        ..ConfigHead::default()
    };
    CompiledTable::compile(&head).unwrap()
}

fn stamped<T: Clone>(rows: &indexmap::IndexMap<Arc<str>, T>) -> indexmap::IndexMap<Arc<str>, Stamped<T>> {
    let rows = rows.iter().map(|(name, entry)| {
        let entry = entry.clone();
        (Arc::clone(name), Stamped { stamp: 1, entry })
    });
    rows.collect()
}

fn route_of(table: &CompiledTable, host: &str, path: &str) -> Option<String> {
    match table.find(host, "GET", path) {
        RouteMatch::Found(route) => Some(route.name.to_string()),
        RouteMatch::WrongMethod | RouteMatch::None => None,
    }
}

#[test]
fn host_and_longest_prefix_select_the_route() {
    let table = compiled(&tables(TABLES));
    let cases = [
        ("shop.example", "/stock/7", Some("shop")),
        ("shop.example", "/stock/deep/7", Some("deep")),
        ("shop.example", "/stock/deeper", Some("shop")),
        // A prefix that ends with a slash does not match the path without it.
        ("shop.example", "/stock", Some("any")),
        ("other.example", "/stock/7", Some("any")),
        ("other.example", "/stocks", None),
        ("shop.example", "/", None),
    ];
    for (host, path, route) in cases {
        assert_eq!(route_of(&table, host, path).as_deref(), route, "{host}{path}");
    }
}

/// Guards against hosts that are compared byte for byte.
#[test]
fn host_is_compared_without_case_default_port_and_root_dot() {
    let port = "[route port]\nhost = Shop.Example:8080\npath = /stock/\npool = trial\n";
    let six = "[route six]\nhost = [::1]\npath = /stock/\npool = trial\n";
    let table = compiled(&tables(&format!("{TABLES}{port}{six}")));
    let cases = [
        ("SHOP.example", "shop"),
        ("shop.example:80", "shop"),
        ("shop.example:", "shop"),
        ("shop.example.", "shop"),
        ("shop.example.:80", "shop"),
        ("shop.example:81", "shop"),
        ("shop.EXAMPLE:8080", "port"),
        ("[::1]", "six"),
        ("[::1]:80", "six"),
        ("[::1]:8080", "six"),
        ("[::2]", "any"),
        ("shop", "any"),
        ("shop.example:x", "any"),
        ("", "any"),
    ];
    for (host, route) in cases {
        assert_eq!(
            route_of(&table, host, "/stock/7").as_deref(),
            Some(route),
            "{host}"
        );
    }
}

/// Guards against a request whose long path of many slashes keeps a thread from its other calls.
#[test]
fn lookup_of_a_long_path_takes_no_longer_than_the_paths_of_the_routes_need() {
    let table = compiled(&tables(TABLES));
    let path = "/".repeat(60_000);
    let started_at = Instant::now();
    for _ in 0..10 {
        assert_eq!(route_of(&table, "shop.example", &path), None);
    }
    let took = started_at.elapsed();
    assert!(took < Duration::from_secs(1), "{took:?}");
    let below = format!("/stock{path}");
    assert_eq!(route_of(&table, "shop.example", &below).as_deref(), Some("shop"));
}

#[test]
fn pools_are_chosen_in_proportion_to_their_weights() {
    let table = compiled(&tables(TABLES));
    let RouteMatch::Found(route) = table.find("shop.example", "GET", "/stock/7") else {
        panic!("no route");
    };
    let to_trial = (0..1_000).filter(|draw| &*route.pool(f64::from(*draw) / 1e3).name == "trial");
    assert_eq!(to_trial.count(), 100);
}

#[test]
fn route_keys_survive_a_round_trip_show_in_differences_and_are_checked() {
    let before = tables(TABLES);
    assert_eq!(tables(&render_tables(&before)), before);
    let after = tables(
        &TABLES
            .replace("priority = 2", "priority = 3")
            .replace("desk:90", "desk:80"),
    );
    insta::assert_snapshot!(
        "difference_of_weights_and_priority",
        diff_tables(&before, &after).to_string()
    );
    let faulty = TABLES
        .replace("priority = 2", "priority = 11")
        .replace("trial:10", "gone:10");
    let faults = parse_tables(&[("tables.ini".into(), faulty)]).unwrap_err();
    insta::assert_snapshot!("faults_of_priority_and_shares", faults.to_string());
}

/// Readers that refused an accepted table for its size would stay on an older one.
#[test]
fn table_over_the_size_limit_of_edits_is_compiled_by_readers() {
    let mut large = tables(TABLES);
    let entry = large.routes["any"].clone();
    for number in 0..6_000 {
        let mut entry = entry.clone();
        entry.path = format!("/p{number}/").into();
        large.routes.insert(format!("r{number}").into(), entry);
    }
    assert!(!large.check_edit().is_empty(), "edits are limited");
    let table = compiled(&large);
    assert_eq!(route_of(&table, "", "/p5999/x").as_deref(), Some("r5999"));
}

/// Guards against an accepted table that is refused as a whole for one value over a limit of edits.
#[test]
fn values_over_the_limits_of_edits_are_compiled_by_readers() {
    let mut large = tables(TABLES);
    let mut add = |name: &str, change: &dyn Fn(&mut RouteEntry)| {
        let mut entry = large.routes["any"].clone();
        entry.path = format!("/over/{}/", large.routes.len()).into();
        change(&mut entry);
        large.routes.insert(name.into(), entry);
    };
    add("timeout", &|entry| entry.timeout_ms = 900_000);
    add("latency", &|entry| entry.target_latency_ms = Some(900_000));
    add("priority", &|entry| entry.priority = 200);
    add("attempts", &|entry| entry.attempts = 40);
    add("path", &|entry| entry.path = "/what?/".into());
    add("case", &|entry| {
        entry.host = Some("SHOP.example".into());
        entry.path = "/stock/".into();
    });
    add("two words", &|_| {});
    add(&"n".repeat(300), &|_| {});
    add("weights", &|entry| {
        let share = PoolShare {
            pool: "desk".into(),
            weight: u32::MAX,
        };
        entry.pools = vec![share; 40];
    });
    let faults = large.check_edit();
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!("faults_of_values_over_the_limits", faults.join("\n"));
    let table = compiled(&large);
    for (at, name) in (3..).zip(["timeout", "latency", "priority", "attempts"]) {
        let path = format!("/over/{at}/x");
        assert_eq!(route_of(&table, "", &path).as_deref(), Some(name));
    }
    // Of two routes that differ in the case of their hosts only, the first is taken.
    assert_eq!(
        route_of(&table, "shop.example", "/stock/7").as_deref(),
        Some("shop")
    );
    let RouteMatch::Found(route) = table.find("", "GET", "/over/11/x") else {
        panic!("no route");
    };
    assert_eq!(&*route.pool(0.99).name, "desk");
}
