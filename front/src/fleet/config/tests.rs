//! Valid files, invalid files, and the settings made from a golden file.

use super::*;
use elmtide_budgets::MinimumRule;
use rstest::rstest;

const VALID: &str = r#"
    installation = "duna"
    key_file = "fleet.key"
    version = 1
    store = "fleet.redb"
    [[front]]
    name = "n1"
    address = "127.0.0.1:7001"
    votes = true
    [[budget]]
    kind = "retries"
    rate = 100.0
    burst = 50.0
    floor = 0.2
"#;

#[test]
fn a_valid_file_is_parsed() {
    let config = FleetConfig::parse(VALID).unwrap();
    let settings = config.settings(3000.0).unwrap();
    assert_eq!(settings.minimums, [(BudgetKind::Retries, MinimumRule { set_aside: 200_000, unit: 20_000 })]);
    assert_eq!((settings.lease.duration, settings.tick), (2_000_000, 50_000));
}

#[rstest]
#[case("version = 1", "version = 0", "version must be at least 1")]
#[case("store = \"fleet.redb\"", "", "set either store")]
#[case("votes = true", "", "0 fronts vote")]
#[case("rate = 100.0", "rate = -1.0", "rate of retries")]
#[case("kind = \"retries\"", "kind = \"hopes\"", "unknown kind of budget")]
#[case("floor = 0.2", "floor = 1.5", "floor of retries")]
#[case("floor = 0.2", "floor = 0.2\nshop = \"x\"", "must name its shop")]
#[case("version = 1", "version = 1\nlease_ms = 10.0", "lease_ms")]
#[case("version = 1", "versions = 1", "versions")]
#[case("[[budget]]", "[[machine]]\nname = \"c-1\"\n[[budget]]", "without [work]")]
#[case("[[budget]]", "[work]\nclosed = [\"7-8\"]\n[[budget]]", "closed")]
#[case("[[budget]]", "[work]\npairs = [[\"a\", \"b\"]]\n[[budget]]", "there is no machine")]
#[case("[[budget]]", "[work]\nhooks = { fly = [\"x\"] }\n[[budget]]", "there is no step")]
#[case("[[budget]]", "[work]\n[[machine]]\nname = \"a\"\nfront = \"n9\"\n[[budget]]", "no [[front]]")]
fn an_invalid_file_is_rejected_with_the_cause(#[case] from: &str, #[case] to: &str, #[case] cause: &str) {
    let message = FleetConfig::parse(&VALID.replace(from, to)).unwrap_err().to_string();
    assert!(message.contains(cause), "{message}");
}

/// The settings on which all fronts must agree, from a file with every key.
#[test]
fn the_settings_of_the_golden_file_keep_their_encoding() {
    let golden = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");
    let text = std::fs::read_to_string(format!("{golden}/fleet.toml")).unwrap();
    let settings = FleetConfig::parse(&text).unwrap().settings(3000.0).unwrap();
    let mut file = elmtide_golden::GoldenFile::new(format!("{golden}/fleet_settings.txt"));
    file.line(&format!("version {} tick {}", settings.version, settings.tick));
    for front in &settings.fronts {
        file.line(&format!("front {:x} site {} votes {}", front.id.0, front.site, front.is_voter));
    }
    file.value("floors", &settings.minimums);
    file.value("terms", &settings.lease);
    let elmtide_fleet::MaintenanceSettings { machines, disruption_budget } = settings.maintenance.unwrap();
    file.value("machines", &machines);
    file.value("bounds", &disruption_budget);
    let rules = settings.sites.unwrap();
    let (sites, patience, ceiling, pace) =
        (rules.sites, rules.patience_ms, rules.max_patience_ms, rules.min_phase_ms);
    file.line(&format!("sites {sites} patience {patience} ceiling {ceiling} pace {pace}"));
    file.value("fronts_of_sites", &rules.site_of_front);
    file.check();
}
