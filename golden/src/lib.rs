//! Golden files for tests: encodings that other processes or later versions read, recorded once and compared ever after.
//!
//! A golden file is text with one record a line: a name, a space, and the bytes in hexadecimal. It is compared as a whole, so a
//! record that is missing, added or reordered fails as well. A file is recorded by running its test with
//! `ELMTIDE_RECORD_GOLDEN=1`; that is done only when a format is added, never to make a test pass.

use std::fmt::{Debug, Write};
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Environment variable that makes [`GoldenFile::check`] record the file in place of comparing it.
const RECORD_VARIABLE: &str = "ELMTIDE_RECORD_GOLDEN";

/// The records of one golden file, as today's program makes them.
pub struct GoldenFile {
    path: PathBuf,
    text: String,
}

impl GoldenFile {
    /// Starts the comparison with the file at `path`, usually below the crate's `tests/golden`.
    pub fn new(path: impl Into<PathBuf>) -> GoldenFile {
        GoldenFile { path: path.into(), text: String::new() }
    }

    /// Whether golden files are recorded in this run.
    pub fn is_recording() -> bool {
        std::env::var_os(RECORD_VARIABLE).is_some()
    }

    /// Adds a value by its `postcard` encoding.
    ///
    /// # Panics
    /// If the value can't be encoded, or if its encoding does not decode to the same value.
    pub fn value<T>(&mut self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let bytes = postcard::to_allocvec(value).expect("a value that can be encoded");
        let decoded: T = postcard::from_bytes(&bytes).expect("an encoding that can be decoded");
        assert_eq!(&decoded, value, "{name} changes when it is encoded and decoded");
        self.bytes(name, &bytes);
    }

    /// Adds bytes as they are.
    pub fn bytes(&mut self, name: &str, bytes: &[u8]) {
        assert!(!name.contains(char::is_whitespace), "{name:?}: a record's name is one word");
        self.text.push_str(name);
        self.text.push(' ');
        for byte in bytes {
            let _ = write!(self.text, "{byte:02x}");
        }
        self.text.push('\n');
    }

    /// Adds a line of text as it is.
    pub fn line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }

    /// Compares all records with the file.
    ///
    /// # Panics
    /// If the file can't be read, or on the first line that differs.
    pub fn check(self) {
        let path = self.path.display();
        if GoldenFile::is_recording() {
            std::fs::write(&self.path, &self.text).unwrap_or_else(|e| panic!("{path}: {e}"));
        }
        let golden = std::fs::read_to_string(&self.path).unwrap_or_else(|e| panic!("{path}: {e}"));
        for (number, (golden, actual)) in golden.lines().zip(self.text.lines()).enumerate() {
            assert_eq!(actual, golden, "{path}, line {}", number + 1);
        }
        assert_eq!(self.text.lines().count(), golden.lines().count(), "{path}: number of records");
    }
}
