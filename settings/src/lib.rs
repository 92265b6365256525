//! Start settings: from JSON text to the decision library's types. Missing values stay `None`.

use elmtide::*;
use serde_json::Value;

fn number(object: &Value, key: &str) -> Option<f64> {
    object.get(key).and_then(Value::as_f64)
}

fn boolean(object: &Value, key: &str) -> bool {
    object.get(key).and_then(Value::as_bool).unwrap_or(false)
}

fn string<'a>(object: &'a Value, key: &str) -> &'a str {
    object.get(key).and_then(Value::as_str).unwrap_or("")
}

fn required_number(object: &Value, key: &str) -> Result<f64, String> {
    number(object, key).ok_or_else(|| format!("settings: {key} is missing or not a number"))
}

fn numbers(object: &Value, key: &str) -> Vec<f64> {
    let list = object.get(key).and_then(Value::as_array);
    list.map(|l| l.iter().map(|v| v.as_f64().unwrap_or(0.0)).collect()).unwrap_or_default()
}

fn boolean_at(object: &Value, key: &str, index: usize) -> bool {
    object.get(key).and_then(|l| l.get(index)).and_then(Value::as_bool).unwrap_or(false)
}

fn kind(object: &Value, key: &str) -> Option<KindId> {
    object.get(key).and_then(Value::as_i64).and_then(|k| u16::try_from(k).ok()).map(KindId)
}

/// Reads settings from JSON text.
///
/// # Errors
/// If the text is not JSON, or a required number is missing.
pub fn parse(text: &[u8]) -> Result<Settings, String> {
    let root: Value = serde_json::from_slice(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    read(&root)
}

/// Numbers that protect servers, by their object. If one is present it must be a number; one that is not positive means
/// that there is no such limit. `read` treats any other value as missing, so a cold server would be overloaded.
const CHECKED_NUMBERS: [(&str, &[&str]); 3] = [
    ("Rules", &["DrainGraceMs", "OverloadFactor", "FallMs", "StartCapacity", "WarmAfterMs", "MustAskInMs"]),
    (
        "FamilyInfo",
        &[
            "ParentFallMultiple",
            "ParentFloor",
            "ParentRampMs",
            "PurgeTakesMs",
            "PurgeSlackMs",
            "ClientKbPerS",
        ],
    ),
    ("Limits", &["ConnectTimeoutMs", "ConnIdleMs", "StreamsPerConn", "MaxRetryAfterMs"]),
];

/// Checks what `read` does not and a start or reload must: deadlines and attempt limits are positive, there is at least
/// one class, class names are unique, the zone exists, and the numbers that protect servers are numbers.
///
/// # Errors
/// The first violation found.
pub fn check(root: &Value) -> Result<(), String> {
    for (section, keys) in CHECKED_NUMBERS {
        for key in keys {
            match &root[section][key] {
                Value::Null => {}
                v if v.is_number() => {}
                v => return Err(format!("settings: {section}: {key} is {v}, which is not a number")),
            }
        }
    }
    let zones = root["Zones"].as_array().map_or(0, Vec::len);
    match root["Az"].as_u64() {
        Some(az) if zones > 0 && az >= zones as u64 => {
            return Err(format!("settings: Az is {az}, but must be less than {zones}, the number of Zones"))
        }
        _ => {}
    }
    let classes =
        root["RequestClasses"].as_array().ok_or("settings: RequestClasses is missing or not a list")?;
    if classes.is_empty() {
        return Err("settings: RequestClasses is empty".into());
    }
    let positive = |object: &Value, key: &str, what: &str| match object.get(key) {
        Some(v) if v.as_f64().is_some_and(|n| n > 0.0 && n.is_finite()) => Ok(()),
        Some(v) => Err(format!("settings: {what} {key} is {v}, which is not a positive number")),
        None => Err(format!("settings: {what} has no {key}")),
    };
    for class in classes {
        let name = class["Name"].as_str().filter(|n| !n.is_empty());
        let name = name.ok_or("settings: a class has no name")?;
        positive(class, "HardLimitMs", &format!("class {name}:"))?;
        positive(class, "OnTimeMs", &format!("class {name}:"))?;
        if class["Repeat"] == "guarded" && !class["MemorySpanMs"].is_null() {
            positive(class, "MemorySpanMs", &format!("class {name}:"))?;
        }
        if classes.iter().filter(|c| c["Name"].as_str() == Some(name)).count() > 1 {
            return Err(format!("settings: class {name} is listed twice"));
        }
    }
    if root["Limits"].get("TryLimit").is_some() {
        positive(&root["Limits"], "TryLimit", "Limits:")?;
    }
    Ok(())
}

/// Reads settings from a JSON value. Missing values stay `None`.
///
/// # Errors
/// If a required number is missing or not a number.
pub fn read(root: &Value) -> Result<Settings, String> {
    let nothing = Value::Null;
    let section = |key: &str| root.get(key).unwrap_or(&nothing);
    let (family, limits, rules) = (section("FamilyInfo"), section("Limits"), section("Rules"));
    let (fresh, grace) = (numbers(family, "FreshForMs"), numbers(family, "UsableAfterMs"));
    let list =
        section("RequestClasses").as_array().ok_or("settings: RequestClasses is missing or not a list")?;
    let mut classes = Vec::new();
    for (index, class) in list.iter().enumerate() {
        classes.push(ClassSettings {
            target_latency: required_number(class, "OnTimeMs")?,
            target_stretch: number(class, "AimStretch"),
            deadline: required_number(class, "HardLimitMs")?,
            value: number(class, "Worth"),
            repeat: match string(class, "Repeat") {
                "free" => Repeat::Safe,
                "guarded" => Repeat::Keyed,
                "single_shot" => Repeat::Unsafe,
                other => return Err(format!("settings: Repeat is {other:?}, not a known value")),
            },
            key_scope: match string(class, "Group") {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            key_window: number(class, "MemorySpanMs"),
            streamed: boolean(class, "Streamed"),
            fresh_for: fresh.get(index).copied(),
            stale_grace: grace.get(index).copied(),
            write: boolean_at(family, "NeverKept", index),
        });
    }
    Ok(Settings {
        zone: ZoneId(required_number(root, "Az")? as u8),
        classes,
        fronts: number(root, "GroupSize").map(|n| n as u32),
        zone_fronts: numbers(family, "CountByZone").into_iter().map(|n| n as u32).collect(),
        parent_kind: kind(family, "ShieldKind"),
        origin_kind: kind(family, "SourceKind"),
        must_subscribe: string(root, "Discovery") == "subscribe",
        weights: match string(root, "Weights") {
            "nominal" => WeightMeaning::Nominal,
            "rough" => WeightMeaning::Rough,
            "live" => WeightMeaning::Live,
            _ => WeightMeaning::None,
        },
        transfer_kb_per_s: number(family, "ClientKbPerS"),
        zone_link_kb_per_s: numbers(family, "LinkInKbPerS"),
        joins: boolean(family, "Collapses"),
        direct: boolean(family, "Straight"),
        siblings: match string(family, "Sideways") {
            "location" => Siblings::Location,
            "any" => Siblings::Any,
            _ => Siblings::None,
        },
        max_attempts: number(limits, "TryLimit").map(|n| n as u32),
        second_copies: boolean(limits, "SecondCopies"),
        cancel: boolean(limits, "Cancelling"),
        probes: boolean(limits, "Probes"),
        retry_after: boolean(limits, "RetryAfter"),
        max_retry_after: number(limits, "MaxRetryAfterMs"),
        drain_grace: number(rules, "DrainGraceMs"),
        overload_factor: number(rules, "OverloadFactor"),
        overload_window: number(rules, "FallMs"),
        cold_fraction: number(rules, "StartCapacity"),
        cold_duration: number(rules, "WarmAfterMs"),
        parent_overload_factor: number(family, "ParentFallMultiple"),
        parent_cold_fraction: number(family, "ParentFloor"),
        parent_cold_duration: number(family, "ParentRampMs"),
        purge_duration: number(family, "PurgeTakesMs"),
    })
}
