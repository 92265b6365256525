use super::*;

fn config(fronts: &[&str]) -> Arc<EdgeConfig> {
    let mut text = String::from("zone = \"edge.test.\"\n");
    for (index, name) in fronts.iter().enumerate() {
        text += &format!("[[front]]\nname = \"{name}\"\nhttp = [\"127.0.0.{}:1\"]\n", index + 1);
    }
    Arc::new(EdgeConfig::parse(&text).unwrap())
}

/// A key whose owner has changed is not taken over while its former owner may still be running a request.
#[test]
fn a_key_with_a_new_owner_waits_until_the_handover_time_has_passed() {
    let (two, one) = (config(&["n1", "n2"]), config(&["n1"]));
    let key = (0..).map(|n| format!("k{n}")).find(|k| two.owner(k).unwrap().name == "n2").unwrap();
    let before = State { config: two.clone(), ..State::default() };
    assert!(matches!(before.owner(&key, "n1", 0.0), Owner::Other(f) if f.name == "n2"));
    let former = vec![FormerFronts { config: two, until: 500.0 }];
    let after = State { config: one, former, ..State::default() };
    assert_eq!(after.owner(&key, "n1", 100.0), Owner::NotYet(500.0));
    assert_eq!(after.owner(&key, "n1", 600.0), Owner::Ours);
}
