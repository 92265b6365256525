use super::*;

const HOLD_MS: Ms = 10_000.0;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("elmtide-owners-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn config(names: &[&str]) -> EdgeConfig {
    let entry = |name: &&str| FrontEntry { name: (*name).to_owned(), ..FrontEntry::default() };
    EdgeConfig { front: names.iter().map(entry).collect(), ..EdgeConfig::default() }
}

fn names(former: &FormerFronts) -> Vec<&str> {
    former.config.front.iter().map(|front| &front.name[..]).collect()
}

/// A hand-over that is under way goes on in the next process, which may count time from another moment.
#[test]
fn a_hand_over_that_is_under_way_is_known_to_the_next_process() {
    let folder = Folder::new("under-way");
    let owners = KeyOwners::at(&folder.0, "n1");
    let former = FormerFronts { config: Arc::new(config(&["n1", "n2"])), until: 5000.0 };
    owners.save(&config(&["n1"]), &[former], 1000.0).unwrap();
    let loaded = owners.load(&config(&["n1"]), HOLD_MS, 900_000.0);
    assert_eq!(loaded.iter().map(names).collect::<Vec<_>>(), [["n1", "n2"]]);
    let left = loaded[0].until - 900_000.0;
    assert!((3000.0..=4000.0).contains(&left), "{left} of 4000 ms are left");
}

/// A file that was changed while no process ran begins a hand-over.
#[test]
fn a_changed_file_begins_a_hand_over() {
    let folder = Folder::new("changed");
    let owners = KeyOwners::at(&folder.0, "n1");
    assert!(owners.load(&config(&["n1"]), HOLD_MS, 0.0).is_empty(), "nothing is known");
    owners.save(&config(&["n1", "n2"]), &[], 0.0).unwrap();
    assert!(owners.load(&config(&["n1", "n2"]), HOLD_MS, 0.0).is_empty(), "the file is the same");
    let loaded = owners.load(&config(&["n1"]), HOLD_MS, 0.0);
    assert_eq!((loaded.len(), names(&loaded[0]), loaded[0].until), (1, vec!["n1", "n2"], HOLD_MS));
}

#[test]
fn a_torn_or_foreign_file_is_not_used() {
    let folder = Folder::new("torn");
    let owners = KeyOwners::at(&folder.0, "n1");
    owners.save(&config(&["n1", "n2"]), &[], 0.0).unwrap();
    let whole = std::fs::read(&owners.0).unwrap();
    for length in [0, 5, whole.len() / 2, whole.len() - 1] {
        std::fs::write(&owners.0, &whole[..length]).unwrap();
        assert!(owners.load(&config(&["n1"]), HOLD_MS, 0.0).is_empty(), "{length} bytes");
    }
    std::fs::write(&owners.0, &whole).unwrap();
    assert_eq!(owners.load(&config(&["n1"]), HOLD_MS, 0.0).len(), 1);
}
