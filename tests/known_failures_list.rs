//! The scripts by which CI passes over known failures: exactly the test that an entry names, and nothing else.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// Stands for a test program: lists its tests, or prints what it was called with.
const PROGRAM: &str = "#!/bin/bash\n\
    if [ \"${1:-}\" = --list ]; then printf '%s: test\\n' a_flood flood::a_flood a_flood_of_many; exit; fi\n\
    echo \"arguments:$*\"\necho \"seeds:${ELMTIDE_SOAK_KNOWN_FAILURES:-}\"\n";

/// A folder with a list of known failures and test programs.
struct Scene(PathBuf);

impl Scene {
    fn new(list: &str) -> Scene {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("elmtide-ci-{}-{}", std::process::id(), NEXT.fetch_add(1, Relaxed));
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(folder.join("matched")).unwrap();
        fs::write(folder.join("list"), list).unwrap();
        Scene(folder)
    }

    /// Runs a test program of this file name as cargo would for a package.
    fn run(&self, package: &str, file: &str) -> String {
        let program = self.0.join(file);
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

    /// Counts what was passed over: whether CI goes on, and what it says.
    fn check(&self) -> (bool, String) {
        let output = script("check-known-failures")
            .args([self.0.join("list"), self.0.join("matched")])
            .output()
            .unwrap();
        (output.status.success(), text(&output))
    }
}

impl Drop for Scene {
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
fn an_entry_passes_over_the_test_that_it_names() {
    let scene = Scene::new("edge/limits::a_flood one question was lost; issue 1\n");
    let said = scene.run("edge", PROGRAM_FILE);
    assert!(said.contains("known to fail, passed over: edge/limits::a_flood\n"), "{said}");
    assert!(said.contains("arguments:--exact --skip a_flood\n"), "{said}");
    let (goes_on, said) = scene.check();
    assert!(goes_on && said.contains("known failures passed over: 1"), "{said}");
}

#[test]
fn tests_of_the_same_name_elsewhere_run() {
    let scene = Scene::new("edge/limits::a_flood cause; issue 1\n");
    for (package, file) in [("core", PROGRAM_FILE), ("edge", OTHER_FILE)] {
        assert!(scene.run(package, file).contains("arguments:\n"), "{package} {file}");
    }
}

#[test]
fn a_test_in_a_module_is_named_whole() {
    let scene = Scene::new("edge/limits::flood::a_flood cause; issue 1\n");
    assert!(scene.run("edge", PROGRAM_FILE).contains("arguments:--exact --skip flood::a_flood\n"));
    assert!(scene.check().0);
}

#[test]
fn an_entry_that_names_no_test_stops_ci() {
    for entry in ["edge/limits::a_floo", "edge/limits::flood", "a_flood", "edge/limits"] {
        let scene = Scene::new(&format!("{entry} cause; issue 1\n"));
        assert!(scene.run("edge", PROGRAM_FILE).contains("arguments:\n"), "{entry}");
        let (goes_on, said) = scene.check();
        assert!(!goes_on && said.contains(&format!("{entry} matches tests of 0 programs")), "{said}");
    }
}

#[test]
fn an_entry_that_names_tests_of_two_programs_stops_ci() {
    let scene = Scene::new("edge/limits::a_flood cause; issue 1\n");
    for file in [PROGRAM_FILE, "limits-fedcba9876543210"] {
        scene.run("edge", file);
    }
    let (goes_on, said) = scene.check();
    assert!(!goes_on && said.contains("matches tests of 2 programs"), "{said}");
}

#[test]
fn a_seed_of_a_soak_is_passed_over_and_the_test_runs() {
    let scene =
        Scene::new("edge/limits::a_flood --seed 7 cause; issue 1\nedge/limits::a_flood --seed 9 cause\n");
    let said = scene.run("edge", PROGRAM_FILE);
    assert!(said.contains("passed over: edge/limits::a_flood, seed 7\n"), "{said}");
    assert!(said.contains("arguments:\nseeds:7,9\n"), "{said}");
    let (goes_on, said) = scene.check();
    assert!(goes_on && said.contains("known failures passed over: 2"), "{said}");
}

#[test]
fn an_empty_list_passes_over_nothing() {
    let scene = Scene::new("\n");
    assert!(scene.run("edge", PROGRAM_FILE).contains("arguments:\nseeds:\n"));
    assert!(scene.check().0);
}
