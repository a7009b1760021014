//! Parses the tables from INI text and renders them back.

use {
    super::{
        organisation::{CallQuota, KeyDigest, OrganisationEntry},
        tables::{
            ConfigTables, DEFAULT_ATTEMPTS, DEFAULT_TIMEOUT_MS, MAX_WEIGHT, MovePolicy, PoolEntry, PoolShare,
            RepeatRule, RouteEntry, TableFault,
        },
    },
    crate::{
        clock::TimePoint,
        ini::{IniSection, read_sections},
    },
    miette::Diagnostic,
    std::{fmt::Write as _, str::FromStr, sync::Arc},
    thiserror::Error,
};

/// A fault in the text of tables or settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseFault {
    /// A line is malformed.
    #[error(
        "{file}:{line}: {text}; write `key = value`, `[route NAME]`, `[pool NAME]` or `[organisation NAME]`"
    )]
    BadLine {
        /// File name.
        file: Arc<str>,
        /// Line number, from 1.
        line: u32,
        /// What is wrong.
        text: String,
    },
    /// A section or key is unknown, missing or repeated, or a key has an invalid value.
    #[error("{file}:{line}: [{section}] {key}: {remedy}")]
    BadKey {
        /// File name.
        file: Arc<str>,
        /// Line number, from 1.
        line: u32,
        /// Title of the section.
        section: String,
        /// Name of the key; empty if the section itself is at fault.
        key: String,
        /// What is wrong and how to fix it.
        remedy: String,
    },
    /// The tables are well-formed but break a rule.
    #[error(transparent)]
    Rule(#[from] TableFault),
}

/// All faults found in a set of tables or settings.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
#[error("{} fault(s) found:\n{}", .0.len(), join_lines(.0))]
#[diagnostic(code(fuchsiashore::tables), help("fix the lines named above and check again"))]
pub struct ParseFaults(pub Vec<ParseFault>);

fn join_lines(faults: &[ParseFault]) -> String {
    faults
        .iter()
        .map(|fault| format!("  {fault}"))
        .collect::<Vec<_>>()
        .join("\n")
}

/// Parses tables from `(file name, text)` pairs and checks their rules. Fails with all faults found.
pub fn parse_tables(files: &[(Arc<str>, String)]) -> Result<ConfigTables, ParseFaults> {
    let mut faults = Vec::new();
    let mut tables = ConfigTables::default();
    for (file, text) in files {
        for section in read_sections(file, text, &mut faults) {
            add_section(&mut tables, section, &mut faults);
        }
    }
    faults.extend(tables.check_edit().into_iter().map(ParseFault::Rule));
    if faults.is_empty() {
        Ok(tables)
    } else {
        Err(ParseFaults(faults))
    }
}

fn add_section(tables: &mut ConfigTables, mut section: IniSection, faults: &mut Vec<ParseFault>) {
    let Some((kind, name)) = section.title.split_once(' ') else {
        faults.push(section.fault(
            "",
            "write the title as [route NAME], [pool NAME] or [organisation NAME]",
        ));
        return;
    };
    let name: Arc<str> = Arc::from(name.trim());
    let repeated = match kind {
        "route" => {
            let entry = read_route(&mut section, faults);
            tables.routes.insert(name, entry).is_some()
        }
        "pool" => {
            let entry = read_pool(&mut section, faults);
            tables.pools.insert(name, entry).is_some()
        }
        "organisation" => {
            let entry = read_organisation(&mut section, faults);
            tables.organisations.insert(name, entry).is_some()
        }
        _ => {
            faults.push(section.fault(
                "",
                "unknown section; only [route NAME], [pool NAME] and [organisation NAME] are allowed",
            ));
            return;
        }
    };
    if repeated {
        faults.push(section.fault("", "duplicate entry; remove one"));
    }
    section.reject_unknown_keys(faults);
}

fn read_route(section: &mut IniSection, faults: &mut Vec<ParseFault>) -> RouteEntry {
    let methods = section.take("methods").unwrap_or_default();
    let repeat = section.take_parsed(
        "repeat",
        "write yes, no or by-method",
        faults,
        |text| match text {
            "yes" => Some(RepeatRule::Always),
            "no" => Some(RepeatRule::Never),
            "by-method" => Some(RepeatRule::ByMethod),
            _ => None,
        },
    );
    let timeout_ms = section.take_parsed(
        "timeout_ms",
        "write milliseconds from 1 to 600000",
        faults,
        |text| text.parse().ok(),
    );
    RouteEntry {
        path: section.take_required("path", faults),
        methods: methods
            .split([',', ' '])
            .filter(|m| !m.is_empty())
            .map(|m| m.to_ascii_uppercase().into())
            .collect(),
        pools: read_shares(section, faults),
        repeat: repeat.unwrap_or_default(),
        timeout_ms: timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS),
        host: section.take("host").map(Into::into),
        target_latency_ms: read_number(section, "target_latency_ms", faults),
        priority: read_number(section, "priority", faults).unwrap_or_default(),
        attempts: read_number(section, "attempts", faults).unwrap_or(DEFAULT_ATTEMPTS),
        is_keyless: read_switch(section, "keyless", faults),
    }
}

fn read_switch(section: &mut IniSection, key: &str, faults: &mut Vec<ParseFault>) -> bool {
    let value = section.take_parsed(key, "write yes or no", faults, |text| match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    });
    value.unwrap_or_default()
}

/// Reads an organisation. Keys are words: a key itself, or its digest as the tables are shown with.
fn read_organisation(section: &mut IniSection, faults: &mut Vec<ParseFault>) -> OrganisationEntry {
    let keys = section.take("keys").unwrap_or_default();
    let digest = |word: &str| word.parse().unwrap_or_else(|_| KeyDigest::of(word.as_bytes()));
    let burst = read_number(section, "burst", faults).unwrap_or_default();
    let rate_per_s = read_number(section, "rate_per_s", faults);
    OrganisationEntry {
        keys: keys.split_whitespace().map(digest).collect(),
        priority: read_number(section, "priority", faults).unwrap_or_default(),
        quota: rate_per_s.map(|rate_per_s| CallQuota { rate_per_s, burst }),
    }
}

fn read_number<T: FromStr>(section: &mut IniSection, key: &str, faults: &mut Vec<ParseFault>) -> Option<T> {
    section.take_parsed(key, "write a whole number", faults, |text| text.parse().ok())
}

/// Reads the `pool` key: a single `NAME`, or `NAME:WEIGHT` words separated by spaces.
fn read_shares(section: &mut IniSection, faults: &mut Vec<ParseFault>) -> Vec<PoolShare> {
    if !section.has("pool") {
        section.take_required("pool", faults);
        return Vec::new();
    }
    let remedy = "write the name of a pool, or several with weights, such as booking:90 trial:10";
    let shares = section.take_parsed("pool", remedy, faults, |text| {
        if !text.contains([':', ' ']) {
            return Some(PoolShare::whole(text));
        }
        text.split_whitespace().map(read_share).collect()
    });
    shares.unwrap_or_default()
}

fn read_share(word: &str) -> Option<PoolShare> {
    let (pool, weight) = word.split_once(':')?;
    let weight = weight.parse().ok().filter(|weight| *weight <= MAX_WEIGHT)?;
    Some(PoolShare {
        pool: pool.into(),
        weight,
    })
}

fn read_pool(section: &mut IniSection, faults: &mut Vec<ParseFault>) -> PoolEntry {
    let finish_by = section.take_parsed(
        "finish_by",
        "write an RFC 3339 time such as 2026-12-05T10:00:00Z",
        faults,
        TimePoint::parse,
    );
    let policy = section.take_parsed("policy", "write prompt or cautious", faults, |text| match text {
        "prompt" => Some(MovePolicy::Prompt),
        "cautious" => Some(MovePolicy::Cautious),
        _ => None,
    });
    let cold_calls_per_s = section.take_parsed(
        "cold_calls_per_s",
        "write a whole number from 1",
        faults,
        |text| text.parse().ok().filter(|number| *number > 0),
    );
    PoolEntry {
        service: section.take_required("service", faults),
        version: section.take_required("version", faults),
        finish_by,
        policy: policy.unwrap_or_default(),
        cold_calls_per_s,
    }
}

fn render_shares(shares: &[PoolShare]) -> String {
    match shares {
        [only] if only.weight == 1 => only.pool.to_string(),
        _ => shares
            .iter()
            .map(|share| format!("{}:{}", share.pool, share.weight))
            .collect::<Vec<_>>()
            .join(" "),
    }
}

/// Renders the tables as INI text that [`parse_tables`] parses back to the same value.
pub fn render_tables(tables: &ConfigTables) -> String {
    let mut text = String::new();
    for (name, route) in &tables.routes {
        let methods = route
            .methods
            .iter()
            .map(|method| &**method)
            .collect::<Vec<_>>()
            .join(", ");
        let repeat = match route.repeat {
            RepeatRule::ByMethod => "by-method",
            RepeatRule::Always => "yes",
            RepeatRule::Never => "no",
        };
        let _ = writeln!(text, "[route {name}]\npath = {}", route.path);
        if !methods.is_empty() {
            let _ = writeln!(text, "methods = {methods}");
        }
        let _ = writeln!(
            text,
            "pool = {}\nrepeat = {repeat}\ntimeout_ms = {}",
            render_shares(&route.pools),
            route.timeout_ms
        );
        if let Some(host) = &route.host {
            let _ = writeln!(text, "host = {host}");
        }
        if let Some(latency_ms) = route.target_latency_ms {
            let _ = writeln!(text, "target_latency_ms = {latency_ms}");
        }
        if route.priority > 0 {
            let _ = writeln!(text, "priority = {}", route.priority);
        }
        if route.is_keyless {
            let _ = writeln!(text, "keyless = yes");
        }
        if route.attempts != DEFAULT_ATTEMPTS {
            let _ = writeln!(text, "attempts = {}", route.attempts);
        }
        text.push('\n');
    }
    for (name, organisation) in &tables.organisations {
        let keys: Vec<String> = organisation.keys.iter().map(KeyDigest::to_string).collect();
        let _ = writeln!(text, "[organisation {name}]\nkeys = {}", keys.join(" "));
        if organisation.priority > 0 {
            let _ = writeln!(text, "priority = {}", organisation.priority);
        }
        if let Some(quota) = organisation.quota {
            let _ = writeln!(text, "rate_per_s = {}\nburst = {}", quota.rate_per_s, quota.burst);
        }
        text.push('\n');
    }
    for (name, pool) in &tables.pools {
        let policy = match pool.policy {
            MovePolicy::Prompt => "prompt",
            MovePolicy::Cautious => "cautious",
        };
        let _ = writeln!(
            text,
            "[pool {name}]\nservice = {}\nversion = {}",
            pool.service, pool.version
        );
        if let Some(finish_by) = pool.finish_by {
            let _ = writeln!(text, "finish_by = {finish_by}");
        }
        let _ = writeln!(text, "policy = {policy}");
        if let Some(calls) = pool.cold_calls_per_s {
            let _ = writeln!(text, "cold_calls_per_s = {calls}");
        }
        text.push('\n');
    }
    text
}
