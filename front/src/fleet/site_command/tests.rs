//! Failover plans by a file, and invalid files.

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

fn plan_pest_lost(text: &str) -> Result<bool, String> {
    let file: File = toml::from_str(text).map_err(|e| e.to_string())?;
    run_plan(Some((&file.sites, &file.site)), &["plan".into(), "pest".into()])
}

#[test]
fn a_valid_file_is_planned_and_an_invalid_one_is_rejected_with_the_cause() {
    assert_eq!(plan_pest_lost(FILE), Ok(true));
    assert_eq!(
        plan_pest_lost(&FILE.replace("signup = 5.0", "signup = 90.0")),
        Ok(false),
        "signups do not fit"
    );
    for (from, to, cause) in [
        ("\"pest\", \"buda\"]]", "\"pest\", \"far\"]]", "no site"),
        ("files = 60.0", "fools = 60.0", "no class"),
        ("east = 30.0", "west = 30.0", "no hub"),
        ("name = \"buda\"", "name = \"pest\"", "the same name"),
        ("room = 60.0", "room = -1.0", "a value is negative or not finite"),
    ] {
        let message = plan_pest_lost(&FILE.replacen(from, to, 1)).unwrap_err();
        assert!(message.contains(cause), "{message}");
    }
}

#[test]
fn a_load_argument_replaces_the_load_of_the_file() {
    let file: File = toml::from_str(FILE).unwrap();
    let mut sites = SiteDirectory::from_config(&file.sites, &file.site).unwrap();
    sites.override_load("pest.files=80").unwrap();
    assert_eq!(sites.layout.branches[0].load, [5.0, 80.0]);
    for invalid in ["pest=3", "pest.files", "far.files=2", "pest.fools=2", "pest.files=x", "pest.files=-1"] {
        assert!(sites.override_load(invalid).is_err(), "{invalid}");
    }
}
