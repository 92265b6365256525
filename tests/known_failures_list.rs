//! The scripts by which CI skips known failures: each entry must skip exactly the test that it names.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// Stands in for a test program: lists its tests, or prints its arguments.
const PROGRAM: &str = "#!/bin/bash\n\
    if [ \"${1:-}\" = --list ]; then printf '%s: test\\n' a_flood flood::a_flood a_flood_of_many; exit; fi\n\
    echo \"arguments:$*\"\necho \"seeds:${ELMTIDE_SOAK_KNOWN_FAILURES:-}\"\n";

/// A folder with a list of known failures and test programs.
struct Setup(PathBuf);

impl Setup {
    fn new(list: &str) -> Setup {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("elmtide-ci-{}-{}", std::process::id(), NEXT.fetch_add(1, Relaxed));
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(folder.join("matched")).unwrap();
        fs::write(folder.join("list"), list).unwrap();
        Setup(folder)
    }

    /// Runs a test program with this file name as cargo would for the package.
    fn run(&self, package: &str, file_name: &str) -> String {
        let program = self.0.join(file_name);
        fs::write(&program, PROGRAM).unwrap();
        fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).unwrap();
        let output = script("test-runner")
            .arg(&program)
            .env("CARGO_PKG_NAME", package)
            .env("KNOWN_FAILURES", self.0.join("list"))
            .env("KNOWN_FAILURES_MATCHED", self.0.join("matched"))
            .output()
            .unwrap();
        text(&output)
    }

    /// Checks that every entry matched: whether CI passes, and the output.
    fn check(&self) -> (bool, String) {
        let output = script("check-known-failures")
            .args([self.0.join("list"), self.0.join("matched")])
            .output()
            .unwrap();
        (output.status.success(), text(&output))
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn script(name: &str) -> Command {
    let mut command = Command::new("bash");
    command.arg(Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci").join(name));
    command
}

fn text(output: &Output) -> String {
    assert!(output.stderr.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

const PROGRAM_FILE: &str = "limits-0123456789abcdef";
const OTHER_FILE: &str = "front-0123456789abcdef";

#[test]
fn an_entry_skips_the_test_that_it_names() {
    let setup = Setup::new("edge/limits::a_flood one question was lost; issue 1\n");
    let report = setup.run("edge", PROGRAM_FILE);
    assert!(report.contains("known to fail, passed over: edge/limits::a_flood\n"), "{report}");
    assert!(report.contains("arguments:--exact --skip a_flood\n"), "{report}");
    let (passes, report) = setup.check();
    assert!(passes && report.contains("known failures passed over: 1"), "{report}");
}

#[test]
fn tests_of_the_same_name_in_other_packages_and_programs_run() {
    let setup = Setup::new("edge/limits::a_flood cause; issue 1\n");
    for (package, file_name) in [("core", PROGRAM_FILE), ("edge", OTHER_FILE)] {
        assert!(setup.run(package, file_name).contains("arguments:\n"), "{package} {file_name}");
    }
}

#[test]
fn an_entry_names_a_test_in_a_module_by_its_full_path() {
    let setup = Setup::new("edge/limits::flood::a_flood cause; issue 1\n");
    assert!(setup.run("edge", PROGRAM_FILE).contains("arguments:--exact --skip flood::a_flood\n"));
    assert!(setup.check().0);
}

#[test]
fn an_entry_that_names_no_test_fails_the_check() {
    for entry in ["edge/limits::a_floo", "edge/limits::flood", "a_flood", "edge/limits"] {
        let setup = Setup::new(&format!("{entry} cause; issue 1\n"));
        assert!(setup.run("edge", PROGRAM_FILE).contains("arguments:\n"), "{entry}");
        let (passes, report) = setup.check();
        assert!(!passes && report.contains(&format!("{entry} matches tests of 0 programs")), "{report}");
    }
}

#[test]
fn an_entry_that_matches_two_programs_fails_the_check() {
    let setup = Setup::new("edge/limits::a_flood cause; issue 1\n");
    for file_name in [PROGRAM_FILE, "limits-fedcba9876543210"] {
        setup.run("edge", file_name);
    }
    let (passes, report) = setup.check();
    assert!(!passes && report.contains("matches tests of 2 programs"), "{report}");
}

#[test]
fn an_entry_with_a_seed_skips_that_seed_and_the_test_runs() {
    let setup =
        Setup::new("edge/limits::a_flood --seed 7 cause; issue 1\nedge/limits::a_flood --seed 9 cause\n");
    let report = setup.run("edge", PROGRAM_FILE);
    assert!(report.contains("passed over: edge/limits::a_flood, seed 7\n"), "{report}");
    assert!(report.contains("arguments:\nseeds:7,9\n"), "{report}");
    let (passes, report) = setup.check();
    assert!(passes && report.contains("known failures passed over: 2"), "{report}");
}

#[test]
fn an_empty_list_skips_nothing() {
    let setup = Setup::new("\n");
    assert!(setup.run("edge", PROGRAM_FILE).contains("arguments:\nseeds:\n"));
    assert!(setup.check().0);
}
