//! Failover plans by a file, and files that are refused.

use serde::Deserialize;

use super::*;

#[derive(Deserialize)]
struct File {
    sites: SitesEntry,
    site: Vec<SiteEntry>,
}

const FILE: &str = r#"
    [sites]
    origin = 40.0
    to_origin = 0.5
    pairs = [["pest", "buda"]]
    class = [{ name = "signup", worth = 20.0, must = true }, { name = "files", worth = 1.0, misses = 0.2 }]
    [[site]]
    name = "pest"
    room = 100.0
    box = 25.0
    load = { signup = 5.0, files = 60.0 }
    links = { east = 30.0 }
    [[site]]
    name = "buda"
    room = 100.0
    load = { signup = 5.0, files = 50.0 }
    links = { east = 30.0 }
    [[site]]
    name = "east"
    kind = "hub"
    room = 60.0
"#;

fn read(text: &str) -> Result<bool, String> {
    let file: File = toml::from_str(text).map_err(|e| e.to_string())?;
    run(Some((&file.sites, &file.site)), &["plan".into(), "pest".into()])
}

#[test]
fn a_file_is_planned_and_a_bad_one_says_why() {
    assert_eq!(read(FILE), Ok(true));
    assert_eq!(read(&FILE.replace("signup = 5.0", "signup = 90.0")), Ok(false), "signups do not fit");
    for (from, to, why) in [
        ("\"pest\", \"buda\"]]", "\"pest\", \"far\"]]", "no site"),
        ("files = 60.0", "fools = 60.0", "no class"),
        ("east = 30.0", "west = 30.0", "no hub"),
        ("name = \"buda\"", "name = \"pest\"", "one name"),
        ("room = 60.0", "room = -1.0", "a figure is none"),
    ] {
        let said = read(&FILE.replacen(from, to, 1)).unwrap_err();
        assert!(said.contains(why), "{said}");
    }
}

#[test]
fn another_load_is_taken_in_place_of_the_files() {
    let file: File = toml::from_str(FILE).unwrap();
    let mut sites = SiteDirectory::from_config(&file.sites, &file.site).unwrap();
    sites.override_load("pest.files=80").unwrap();
    assert_eq!(sites.layout.branches[0].load, [5.0, 80.0]);
    for wrong in ["pest=3", "pest.files", "far.files=2", "pest.fools=2", "pest.files=x", "pest.files=-1"] {
        assert!(sites.override_load(wrong).is_err(), "{wrong}");
    }
}
