use super::*;

/// It lasts for a while after it was seen, is shared, and ends with a connection that was opened.
#[test]
fn a_shortage_lasts_until_it_is_old_or_a_connection_is_opened() {
    let begin = Instant::now();
    let shortage = Shortage::new(begin);
    let shared = shortage.clone();
    assert!(!shortage.lasts(begin));
    let seen = begin + Duration::from_secs(1);
    shared.observe(seen);
    assert!(shortage.lasts(seen));
    assert!(!shortage.lasts(seen + MEMORY));
    shared.observe(seen + MEMORY);
    shared.observe(seen);
    assert!(shortage.lasts(seen + MEMORY), "an older report shortens nothing");
    shortage.end();
    assert!(!shared.lasts(seen + MEMORY));
}
