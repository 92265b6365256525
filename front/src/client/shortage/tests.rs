use super::*;

/// A shortage expires some time after the last report, is shared by all clones, and ends when a connection opens.
#[test]
fn a_shortage_is_active_until_it_expires_or_a_connection_opens() {
    let start = Instant::now();
    let shortage = Shortage::new(start);
    let shared = shortage.clone();
    assert!(!shortage.is_active(start));
    let reported_at = start + Duration::from_secs(1);
    shared.report(reported_at);
    assert!(shortage.is_active(reported_at));
    assert!(!shortage.is_active(reported_at + SHORTAGE_DURATION));
    shared.report(reported_at + SHORTAGE_DURATION);
    shared.report(reported_at);
    assert!(
        shortage.is_active(reported_at + SHORTAGE_DURATION),
        "an older report does not shorten the shortage"
    );
    shortage.clear();
    assert!(!shared.is_active(reported_at + SHORTAGE_DURATION));
}
