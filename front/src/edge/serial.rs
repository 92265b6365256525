//! The zone's serial, which only increases (RFC 1982); across restarts too, if it is kept in a file.

use std::path::Path;

use elmtide_dns::wire::serial_later;
use elmtide_dns::zone::next_serial;

use crate::edge::config::EdgeConfig;
use crate::process::durable_file;

/// A serial and the fingerprint of the zone it was used for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSerial {
    pub serial: u32,
    pub zone: String,
}

impl StoredSerial {
    /// Reads the file; `None` if it does not exist yet.
    ///
    /// # Errors
    /// If it can't be read or is invalid: the path and the cause.
    pub fn load(path: &Path) -> Result<Option<StoredSerial>, String> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(format!("{}: {e}", path.display())),
        };
        let mut fields = text.split_whitespace();
        match (fields.next().and_then(|w| w.parse().ok()), fields.next(), fields.next()) {
            (Some(serial), Some(zone), None) => Ok(Some(StoredSerial { serial, zone: zone.into() })),
            _ => Err(format!("{}: it is no serial and fingerprint", path.display())),
        }
    }

    /// Writes the file atomically.
    ///
    /// # Errors
    /// If it can't be written: the path and the cause.
    pub fn save(&self, path: &Path) -> Result<(), String> {
        let failed = |e: std::io::Error| format!("{}: {e}", path.display());
        let line = format!("{} {}\n", self.serial, self.zone);
        let part = path.with_extension("part");
        durable_file::replace(path, &part, durable_file::READABLE, line.as_bytes()).map_err(failed)
    }
}

/// The serial of a configuration that is put in force after `last`. An unchanged zone keeps its serial.
///
/// # Errors
/// If the configuration sets a serial that is not later than the last one.
pub fn serial_for(
    config: &EdgeConfig,
    last: Option<&StoredSerial>,
    now_s: u32,
) -> Result<StoredSerial, String> {
    let zone = config.zone_fingerprint();
    if let Some(unchanged) = last.filter(|l| l.zone == zone && config.serial.is_none_or(|s| s == l.serial)) {
        return Ok(unchanged.clone());
    }
    let last = last.map(|l| l.serial);
    let serial = match (config.serial, last) {
        (Some(configured), Some(last)) if !serial_later(configured, last) => {
            return Err(format!("serial is {configured}, which is not later than {last}"));
        }
        (configured, last) => next_serial(last, configured.unwrap_or(now_s)),
    };
    Ok(StoredSerial { serial, zone })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn config(zone: &str, serial: Option<u32>) -> EdgeConfig {
        EdgeConfig { zone: zone.into(), serial, ..EdgeConfig::default() }
    }

    #[test]
    fn the_serial_only_increases_even_if_the_clock_is_set_back() {
        let first = serial_for(&config("a.", None), None, 1000).unwrap();
        assert_eq!(first.serial, 1000);
        assert_eq!(
            serial_for(&config("a.", None), Some(&first), 2000).unwrap(),
            first,
            "nothing has changed"
        );
        // The clock was set back.
        let second = serial_for(&config("b.", None), Some(&first), 10).unwrap();
        assert_eq!(second.serial, 1001);
        let configured = serial_for(&config("c.", Some(5000)), Some(&second), 10).unwrap();
        assert_eq!(configured.serial, 5000);
        assert!(serial_for(&config("d.", Some(4000)), Some(&configured), 10).is_err());
        let last = StoredSerial { serial: u32::MAX, zone: "e".into() };
        assert_eq!(
            serial_for(&config("f.", None), Some(&last), u32::MAX - 5).unwrap().serial,
            1,
            "wraps past 0"
        );
    }

    #[test]
    fn a_saved_serial_is_read_back_and_an_invalid_file_is_an_error() {
        let folder = std::env::temp_dir().join(format!("elmtide-serial-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("serial");
        assert_eq!(StoredSerial::load(&path), Ok(None));
        let kept = StoredSerial { serial: 7, zone: "ab".into() };
        kept.save(&path).unwrap();
        assert_eq!(StoredSerial::load(&path), Ok(Some(kept)));
        std::fs::write(&path, "seven").unwrap();
        assert!(StoredSerial::load(&path).is_err());
        std::fs::remove_dir_all(folder).unwrap();
    }
}
