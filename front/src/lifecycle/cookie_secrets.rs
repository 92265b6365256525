//! The secrets of DNS cookies: of our own and rolled over, or from a file that is read anew when it changes.

use std::fmt;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::SystemTime;

use elmtide::Ms;
use elmtide_dns::cookie::{Secret, Secrets};

use crate::edge::in_force::State;
use crate::process::clock;

/// The longest file of secrets, in bytes.
const SECRET_BYTES: u64 = 64 * 1024;
/// A secret of our own is rolled over so often where nothing else is set.
const ROLL_S: u32 = 24 * 3600;
/// A file is looked at so often.
const FILE_LOOK: Ms = 1000.0;

/// Bytes that nobody can guess.
pub fn random<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    if getrandom::fill(&mut bytes).is_err() {
        // Without it cookies could be guessed; they prove little then, but nothing breaks.
        eprintln!("edge: the system gives no random numbers");
    }
    bytes
}

/// A file that nobody else may read.
///
/// # Errors
/// Why it can't be used.
pub fn read_private(path: &Path) -> Result<String, String> {
    let failed = |e: &dyn fmt::Display| format!("{}: {e}", path.display());
    let about = std::fs::metadata(path).map_err(|e| failed(&e))?;
    if about.permissions().mode() & 0o077 != 0 {
        return Err(failed(&"others may read it: it has to be of mode 0600"));
    }
    if about.len() > SECRET_BYTES {
        return Err(failed(&format!("over {SECRET_BYTES} bytes")));
    }
    std::fs::read_to_string(path).map_err(|e| failed(&e))
}

/// The secrets of a file: the one in use, and one before or after it.
///
/// # Errors
/// Why the file can't be used.
pub fn read_secrets(path: &Path) -> Result<Secrets, String> {
    let text = read_private(path)?;
    let mut lines = text.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#'));
    let bad = || format!("{}: one or two lines of 32 hex digits are wanted", path.display());
    let current = lines.next().and_then(Secret::parse).ok_or_else(bad)?;
    let other = match lines.next() {
        None => None,
        Some(line) => Some(Secret::parse(line).ok_or_else(bad)?),
    };
    match lines.next() {
        Some(_) => Err(bad()),
        None => Ok(Secrets::new(current, other)),
    }
}

/// Where the cookies' secret comes from.
pub enum SecretSource {
    Own { since: Ms },
    File { changed: Option<SystemTime>, looked: Ms },
}

impl SecretSource {
    /// A secret of our own, from now on.
    pub fn own() -> SecretSource {
        SecretSource::Own { since: clock::steady_ms() }
    }

    /// A file that was last changed at this moment, where the system tells it.
    pub fn file(changed: Option<SystemTime>) -> SecretSource {
        SecretSource::File { changed, looked: clock::steady_ms() }
    }

    /// Other secrets, if it is time for them.
    pub fn renew(&mut self, current: &State, now: Ms) -> Option<Secrets> {
        let served = current.served.as_ref()?;
        match (self, &current.config.cookie_secret_file) {
            (SecretSource::Own { since }, _) => {
                let every = f64::from(current.config.cookie_roll_s.unwrap_or(ROLL_S)) * 1000.0;
                if now - *since < every {
                    return None;
                }
                *since = now;
                eprintln!("edge: the cookies' secret is rolled over");
                Some(served.secrets.roll(Secret::new(random())))
            }
            (SecretSource::File { changed, looked }, Some(path)) if now - *looked >= FILE_LOOK => {
                *looked = now;
                let changed_at = std::fs::metadata(path).and_then(|m| m.modified()).ok();
                if changed_at == *changed {
                    return None;
                }
                *changed = changed_at;
                read_again(path)
            }
            _ => None,
        }
    }
}

fn read_again(path: &Path) -> Option<Secrets> {
    match read_secrets(path) {
        Ok(secrets) => {
            eprintln!("edge: the cookies' secrets are read anew");
            Some(secrets)
        }
        Err(why) => {
            eprintln!("edge: the cookies' secrets stay as they are: {why}");
            None
        }
    }
}
