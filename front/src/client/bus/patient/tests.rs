use super::*;

#[test]
fn only_one_connection_at_a_time_is_patient() {
    let slot = Arc::new(PatientSlot::default());
    let first = slot.try_occupy(None).unwrap();
    assert!(slot.try_occupy(None).is_none());
    drop(first);
    assert!(slot.try_occupy(None).is_some());
}

#[test]
fn patience_doubles_until_an_answer_has_come() {
    let slot = Arc::new(PatientSlot::default());
    let mut expected = MIN_PATIENCE;
    for _ in 0..20 {
        let guard = slot.try_occupy(None).unwrap();
        assert_eq!(guard.patience(), expected);
        guard.record_expiry();
        expected = (expected * 2).min(MAX_PATIENCE);
    }
    assert_eq!(expected, MAX_PATIENCE);
    slot.on_answer();
    assert_eq!(slot.try_occupy(None).unwrap().patience(), MIN_PATIENCE);
}

#[test]
fn an_answer_on_another_connection_ends_the_patient_one() {
    let slot = Arc::new(PatientSlot::default());
    let guard = slot.try_occupy(None).unwrap();
    assert!(!guard.is_superseded());
    slot.on_answer();
    assert!(guard.is_superseded());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = Arc::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
    assert!(!guard.set_stream(stream), "established too late");
}
