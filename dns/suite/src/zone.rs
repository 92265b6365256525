//! The zone that the cases ask for (`dns/conformance/zone.toml`, in the form of an edge file) and its keys.

use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use elmtide_dns::records::RecordEntry;
use elmtide_dns::tsig::Keys;
use elmtide_dns::zone::{SoaEntry, Steered, ZoneSource};
use elmtide_steering::{Layout, Policy, Pool, PoolId};
use serde::Deserialize;

/// The key that may take the zone over, one that may not, and one that the server does not have.
pub const KEY: &str = "transfer.key.";
pub const STRANGER: &str = "stranger.key.";
pub const UNKNOWN: &str = "unknown.key.";

/// Seconds of the Unix clock.
pub fn now_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

/// The key file; with other secrets for those who sign with the wrong ones.
pub fn key_text(wrong: bool) -> String {
    let secret = if wrong { "d3Jvbmd3cm9uZ3dyb25nd3Jvbmc=" } else { "c2l4dGVlbiBieXRlcyBhdCBsZWFzdA==" };
    let mut text = format!("{KEY} hmac-sha256 {secret}\n{STRANGER} hmac-sha512 {secret}\n");
    if wrong {
        text += &format!("{UNKNOWN} hmac-sha256 {secret}\n");
    }
    text
}

pub fn keys(wrong: bool) -> Keys {
    Keys::parse(&key_text(wrong)).unwrap_or_default()
}

/// Where the cases are.
pub fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../conformance")
}

/// The zone's file as it is.
pub fn text() -> Result<String, String> {
    let path = folder().join("zone.toml");
    std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))
}

#[derive(Deserialize)]
struct NameEntry {
    name: String,
    addresses: Vec<IpAddr>,
}

#[derive(Deserialize)]
struct File {
    zone: String,
    soa: SoaEntry,
    name: Vec<NameEntry>,
    record: Vec<RecordEntry>,
}

/// The zone and its layout, without the program around them.
pub fn source() -> Result<(ZoneSource, Layout), String> {
    let file: File = toml::from_str(&text()?).map_err(|e| e.to_string())?;
    let pools = file.name.iter().map(|n| Pool {
        members: n.addresses.iter().map(|a| (*a, None)).collect(),
        answers: elmtide_steering::MAX_ANSWER_ADDRESSES,
    });
    let layout = Layout::new(vec![], vec![], vec![], pools.collect(), Policy::default());
    let steered = file.name.iter().enumerate().map(|(place, n)| Steered {
        name: n.name.clone(),
        pool: PoolId(place as u16),
        addresses: n.addresses.clone(),
    });
    let source = ZoneSource {
        origin: file.zone.clone(),
        ttl: 1,
        soa: file.soa.clone(),
        steered: steered.collect(),
        records: file.record,
    };
    Ok((source, layout.map_err(|e| e.to_string())?))
}
