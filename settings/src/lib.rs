//! Start settings: from JSON text to the module's types. What is not told stays `None`.

use elmtide::*;
use serde_json::Value;

fn number(at: &Value, key: &str) -> Option<f64> {
    at.get(key).and_then(Value::as_f64)
}

fn truth(at: &Value, key: &str) -> bool {
    at.get(key).and_then(Value::as_bool).unwrap_or(false)
}

fn word<'a>(at: &'a Value, key: &str) -> &'a str {
    at.get(key).and_then(Value::as_str).unwrap_or("")
}

fn needed(at: &Value, key: &str) -> Result<f64, String> {
    number(at, key).ok_or_else(|| format!("settings: {key} is missing or no number"))
}

fn numbers(at: &Value, key: &str) -> Vec<f64> {
    let list = at.get(key).and_then(Value::as_array);
    list.map(|l| l.iter().map(|v| v.as_f64().unwrap_or(0.0)).collect()).unwrap_or_default()
}

fn truth_at(at: &Value, key: &str, place: usize) -> bool {
    at.get(key).and_then(|l| l.get(place)).and_then(Value::as_bool).unwrap_or(false)
}

fn kind(at: &Value, key: &str) -> Option<KindId> {
    at.get(key).and_then(Value::as_i64).and_then(|k| u16::try_from(k).ok()).map(KindId)
}

/// Reads settings from JSON text.
///
/// # Errors
/// If the text is not JSON, or a needed figure is missing.
pub fn parse(text: &[u8]) -> Result<Settings, String> {
    let root: Value = serde_json::from_slice(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    read(&root)
}

/// Figures that safety rests on, by their object: where one is told it is a number (one that is not positive says that there is
/// no such thing). `read` takes what is none for not told, and a node that is not told to be cold would be pushed over.
const FIGURES: [(&str, &[&str]); 3] = [
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

/// Deadlines and attempts are positive numbers, there is a class, none is there twice, and no figure that safety rests on
/// is told as something else: what `read` lets pass, a start and a reload must not.
pub fn check(told: &Value) -> Result<(), String> {
    for (part, keys) in FIGURES {
        for key in keys {
            match &told[part][key] {
                Value::Null => {}
                v if v.is_number() => {}
                v => return Err(format!("settings: {part}: {key} is {v}, which is no figure")),
            }
        }
    }
    let zones = told["Zones"].as_array().map_or(0, Vec::len);
    match told["Az"].as_u64() {
        Some(az) if zones > 0 && az >= zones as u64 => {
            return Err(format!("settings: Az is {az}, and there are {zones} Zones"))
        }
        _ => {}
    }
    let classes =
        told["RequestClasses"].as_array().ok_or("settings: RequestClasses is missing or no list")?;
    if classes.is_empty() {
        return Err("settings: RequestClasses is empty".into());
    }
    let positive = |at: &Value, key: &str, what: &str| match at.get(key) {
        Some(v) if v.as_f64().is_some_and(|n| n > 0.0 && n.is_finite()) => Ok(()),
        Some(v) => Err(format!("settings: {what} {key} is {v}, which is no positive number")),
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
            return Err(format!("settings: class {name} is there twice"));
        }
    }
    if told["Limits"].get("TryLimit").is_some() {
        positive(&told["Limits"], "TryLimit", "Limits:")?;
    }
    Ok(())
}

/// Reads settings from a JSON value. What is not told stays `None`.
///
/// # Errors
/// If a needed figure is missing or no number.
pub fn read(root: &Value) -> Result<Settings, String> {
    let nothing = Value::Null;
    let part = |key: &str| root.get(key).unwrap_or(&nothing);
    let (family, limits, rules) = (part("FamilyInfo"), part("Limits"), part("Rules"));
    let (fresh, grace) = (numbers(family, "FreshForMs"), numbers(family, "UsableAfterMs"));
    let list = part("RequestClasses").as_array().ok_or("settings: RequestClasses is missing or no list")?;
    let mut classes = Vec::new();
    for (place, class) in list.iter().enumerate() {
        classes.push(ClassSettings {
            aim: needed(class, "OnTimeMs")?,
            aim_stretch: number(class, "AimStretch"),
            deadline: needed(class, "HardLimitMs")?,
            worth: number(class, "Worth"),
            repeat: match word(class, "Repeat") {
                "free" => Repeat::Safe,
                "guarded" => Repeat::Keyed,
                "single_shot" => Repeat::Unsafe,
                other => return Err(format!("settings: Repeat is {other:?}")),
            },
            key_scope: match word(class, "Group") {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            key_window: number(class, "MemorySpanMs"),
            streamed: truth(class, "Streamed"),
            fresh: fresh.get(place).copied(),
            grace: grace.get(place).copied(),
            write: truth_at(family, "NeverKept", place),
        });
    }
    Ok(Settings {
        zone: ZoneId(needed(root, "Az")? as u8),
        classes,
        fronts: number(root, "GroupSize").map(|n| n as u32),
        zone_fronts: numbers(family, "CountByZone").into_iter().map(|n| n as u32).collect(),
        parent_kind: kind(family, "ShieldKind"),
        origin_kind: kind(family, "SourceKind"),
        must_subscribe: word(root, "Discovery") == "subscribe",
        weights: match word(root, "Weights") {
            "nominal" => WeightMeaning::Nominal,
            "rough" => WeightMeaning::Rough,
            "live" => WeightMeaning::Live,
            _ => WeightMeaning::None,
        },
        pace: number(family, "ClientKbPerS"),
        zone_links: numbers(family, "LinkInKbPerS"),
        joins: truth(family, "Collapses"),
        direct: truth(family, "Straight"),
        siblings: match word(family, "Sideways") {
            "location" => Siblings::Location,
            "any" => Siblings::Any,
            _ => Siblings::None,
        },
        max_attempts: number(limits, "TryLimit").map(|n| n as u32),
        second_copies: truth(limits, "SecondCopies"),
        cancel: truth(limits, "Cancelling"),
        probes: truth(limits, "Probes"),
        retry_after: truth(limits, "RetryAfter"),
        max_retry_after: number(limits, "MaxRetryAfterMs"),
        drain_grace: number(rules, "DrainGraceMs"),
        fall_multiple: number(rules, "OverloadFactor"),
        fall_span: number(rules, "FallMs"),
        cold_from: number(rules, "StartCapacity"),
        cold_span: number(rules, "WarmAfterMs"),
        parent_fall_multiple: number(family, "ParentFallMultiple"),
        parent_cold_from: number(family, "ParentFloor"),
        parent_cold_span: number(family, "ParentRampMs"),
        purge_done: number(family, "PurgeTakesMs"),
    })
}
