//! Writes that fail, in whole or in part.

use super::*;

/// A temporary file that is removed at the end of the test.
struct TestFile(std::path::PathBuf);

impl TestFile {
    fn new(name: &str) -> TestFile {
        let name = format!("elmtide-spend-log-{}-{name}", std::process::id());
        TestFile(std::env::temp_dir().join(name))
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A write that succeeds only in part, as on a disk that fills up, leaves no partial line.
#[test]
fn a_partially_written_line_is_truncated() {
    let test_file = TestFile::new("half");
    let mut file = SpendFile::open(&test_file.0).unwrap();
    file.append("one\n").unwrap();
    File::options().append(true).open(&test_file.0).unwrap().write_all(b"tw").unwrap();
    file.append("two\n").unwrap();
    file.append("three\n").unwrap();
    assert_eq!(std::fs::read_to_string(&test_file.0).unwrap(), "one\ntwo\nthree\n");
    let mut reopened = SpendFile::open(&test_file.0).unwrap();
    reopened.append("four\n").unwrap();
    assert_eq!(std::fs::read_to_string(&test_file.0).unwrap(), "one\ntwo\nthree\nfour\n");
}

#[test]
fn appending_to_a_full_disk_fails_and_records_nothing() {
    let mut file = SpendFile::open(Path::new("/dev/full")).unwrap();
    assert_eq!(file.append("one\n").unwrap_err().kind(), io::ErrorKind::StorageFull);
    assert_eq!(file.length, 0);
}
