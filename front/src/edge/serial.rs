//! The zone's serial, which only rises (RFC 1982), over a restart too where it is kept in a file.

use std::path::Path;

use elmtide_dns::wire::serial_later;
use elmtide_dns::zone::next_serial;

use crate::edge::config::EdgeConfig;
use crate::process::durable_file;

/// A serial and the zone that had it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kept {
    pub serial: u32,
    pub zone: String,
}

impl Kept {
    /// What the file holds; `None` where there is none yet.
    pub fn load(path: &Path) -> Result<Option<Kept>, String> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(format!("{}: {e}", path.display())),
        };
        let mut words = text.split_whitespace();
        match (words.next().and_then(|w| w.parse().ok()), words.next(), words.next()) {
            (Some(serial), Some(zone), None) => Ok(Some(Kept { serial, zone: zone.into() })),
            _ => Err(format!("{}: it is no serial and fingerprint", path.display())),
        }
    }

    /// Whole or not at all.
    pub fn save(&self, path: &Path) -> Result<(), String> {
        let failed = |e: std::io::Error| format!("{}: {e}", path.display());
        let line = format!("{} {}\n", self.serial, self.zone);
        let part = path.with_extension("part");
        durable_file::replace(path, &part, durable_file::READABLE, line.as_bytes()).map_err(failed)
    }
}

/// The serial of a configuration that comes into force after `last`.
pub fn serial_for(config: &EdgeConfig, last: Option<&Kept>, now_s: u32) -> Result<Kept, String> {
    let zone = config.zone_fingerprint();
    if let Some(same) = last.filter(|l| l.zone == zone && config.serial.is_none_or(|s| s == l.serial)) {
        return Ok(same.clone());
    }
    let last = last.map(|l| l.serial);
    let serial = match (config.serial, last) {
        (Some(set), Some(last)) if !serial_later(set, last) => {
            return Err(format!("serial is {set}, which is not later than {last}"));
        }
        (set, last) => next_serial(last, set.unwrap_or(now_s)),
    };
    Ok(Kept { serial, zone })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn config(zone: &str, serial: Option<u32>) -> EdgeConfig {
        EdgeConfig { zone: zone.into(), serial, ..EdgeConfig::default() }
    }

    #[test]
    fn it_only_rises() {
        let first = serial_for(&config("a.", None), None, 1000).unwrap();
        assert_eq!(first.serial, 1000);
        assert_eq!(
            serial_for(&config("a.", None), Some(&first), 2000).unwrap(),
            first,
            "nothing has changed"
        );
        // The clock has been set back.
        let second = serial_for(&config("b.", None), Some(&first), 10).unwrap();
        assert_eq!(second.serial, 1001);
        let set = serial_for(&config("c.", Some(5000)), Some(&second), 10).unwrap();
        assert_eq!(set.serial, 5000);
        assert!(serial_for(&config("d.", Some(4000)), Some(&set), 10).is_err());
        let last = Kept { serial: u32::MAX, zone: "e".into() };
        assert_eq!(
            serial_for(&config("f.", None), Some(&last), u32::MAX - 5).unwrap().serial,
            1,
            "wraps past 0"
        );
    }

    #[test]
    fn a_kept_serial_is_read_back_and_a_spoilt_one_is_told() {
        let folder = std::env::temp_dir().join(format!("elmtide-serial-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("serial");
        assert_eq!(Kept::load(&path), Ok(None));
        let kept = Kept { serial: 7, zone: "ab".into() };
        kept.save(&path).unwrap();
        assert_eq!(Kept::load(&path), Ok(Some(kept)));
        std::fs::write(&path, "seven").unwrap();
        assert!(Kept::load(&path).is_err());
        std::fs::remove_dir_all(folder).unwrap();
    }
}
