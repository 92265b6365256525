use super::*;

fn config(fronts: &[&str]) -> Arc<EdgeConfig> {
    let mut text = String::from("zone = \"edge.test.\"\n");
    for (place, name) in fronts.iter().enumerate() {
        text += &format!("[[front]]\nname = \"{name}\"\nhttp = [\"127.0.0.{}:1\"]\n", place + 1);
    }
    Arc::new(EdgeConfig::parse(&text).unwrap())
}

/// A key that has changed hands is taken by nobody until the one before can't be running it any more.
#[test]
fn a_key_that_changes_hands_waits() {
    let (two, one) = (config(&["n1", "n2"]), config(&["n1"]));
    let key = (0..).map(|n| format!("k{n}")).find(|k| two.owner(k).unwrap().name == "n2").unwrap();
    let before = State { config: two.clone(), ..State::default() };
    assert!(matches!(before.owner(&key, "n1", 0.0), Owner::Other(f) if f.name == "n2"));
    let former = vec![Former { config: two, until: 500.0 }];
    let after = State { config: one, former, ..State::default() };
    assert_eq!(after.owner(&key, "n1", 100.0), Owner::NotYet(500.0));
    assert_eq!(after.owner(&key, "n1", 600.0), Owner::Ours);
}
