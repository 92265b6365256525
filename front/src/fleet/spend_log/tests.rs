use super::*;

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

/// A write that went through in part, as on a disk that fills up, leaves no half line.
#[test]
fn a_half_written_line_is_cut_off() {
    let at = TestFile::new("half");
    let mut file = SpendFile::open(&at.0).unwrap();
    file.append("one\n").unwrap();
    File::options().append(true).open(&at.0).unwrap().write_all(b"tw").unwrap();
    file.append("two\n").unwrap();
    file.append("three\n").unwrap();
    assert_eq!(std::fs::read_to_string(&at.0).unwrap(), "one\ntwo\nthree\n");
    let mut again = SpendFile::open(&at.0).unwrap();
    again.append("four\n").unwrap();
    assert_eq!(std::fs::read_to_string(&at.0).unwrap(), "one\ntwo\nthree\nfour\n");
}

#[test]
fn a_full_disk_is_an_error() {
    let mut file = SpendFile::open(Path::new("/dev/full")).unwrap();
    assert_eq!(file.append("one\n").unwrap_err().kind(), io::ErrorKind::StorageFull);
    assert_eq!(file.length, 0);
}
