//! The organisation whose key a caller shows.

use {
    super::{
        super::dialect::{CallDialect, CallerKey},
        CallRefusal,
    },
    crate::{
        call::RefusalReason,
        clock::TimePoint,
        config::{CompiledOrganisation, CompiledRoute, CompiledTable, KeyDigest},
        daemon::freshness::TableFreshness,
    },
    salvo::http::HeaderMap,
    std::sync::Arc,
};

/// Longest key that is looked up, in bytes.
const MAX_KEY_BYTES: usize = 1_024;

/// Organisation of a call with the key that shows it.
#[derive(Debug, Clone)]
pub(super) struct CallerIdentity {
    pub organisation: Arc<CompiledOrganisation>,
    pub key: KeyDigest,
}

/// Returns the organisation of a call; `None` if its route needs no key and it shows none that is in force.
pub(super) fn identify(
    dialect: &dyn CallDialect,
    headers: &HeaderMap,
    (table, route): (&CompiledTable, &CompiledRoute),
    freshness: &TableFreshness,
    now: TimePoint,
) -> Result<Option<CallerIdentity>, CallRefusal> {
    if !table.needs_keys {
        return Ok(None);
    }
    let shown = dialect.caller_key(headers);
    let identity = match shown {
        CallerKey::Shown(key) if key.len() <= MAX_KEY_BYTES => {
            let key = KeyDigest::of(key.as_bytes());
            let organisation = table.organisation(&key).cloned();
            organisation
                .map(|organisation| CallerIdentity { organisation, key })
                .ok_or_else(|| format!("the key {} is not in force", key.fingerprint()))
        }
        CallerKey::Shown(key) => Err(format!("a key of {} bytes", key.len())),
        CallerKey::Missing => Err("no key".to_owned()),
        CallerKey::Malformed => Err("several keys or none in the right form".to_owned()),
    };
    let are_keys_confirmed = freshness.are_keys_confirmed(table.version, now);
    match identity {
        Ok(identity) if are_keys_confirmed => Ok(Some(identity)),
        _ if route.is_keyless => Ok(None),
        Ok(_) => {
            let age_ms = freshness.age_ms(now);
            let detail = format!("version={} age_ms={age_ms}", table.version);
            Err(CallRefusal::not_run(RefusalReason::KeysUnconfirmed, &detail))
        }
        Err(detail) => Err(CallRefusal::not_run(RefusalReason::UnknownKey, &detail)),
    }
}
