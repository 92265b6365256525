use super::*;

const OLD: CellIx = CellIx(0);
const NEW: CellIx = CellIx(1);
const GOOD: MoveConditions = MoveConditions {
    target_ready: true,
    target_overloaded: false,
    target_busy: false,
    signups_in_old_cell: 0,
};

fn new_move() -> Move {
    Move::new(ShopId(7), OLD, NEW, 100.0, 1000.0, 0.0)
}

fn moved_share(m: &Move) -> f64 {
    (0..10_000u64).filter(|o| m.serving_cell(*o, false) == NEW).count() as f64 / 10_000.0
}

#[test]
fn the_share_grows_and_signups_move_last() {
    let (mut m, mut now, mut last_share) = (new_move(), 0.0, 0.0);
    while m.step != Step::Settling {
        assert_eq!(m.serving_cell(3, true), OLD, "a signup moved too early, {:?}", m.step);
        m.advance(GOOD, now);
        assert!(
            moved_share(&m) >= last_share && moved_share(&m) <= (last_share * 2.1).max(0.08),
            "{last_share} to {}",
            moved_share(&m)
        );
        last_share = moved_share(&m);
        now += 50.0;
    }
    assert_eq!((m.serving_cell(3, true), last_share), (NEW, 1.0));
    m.advance(MoveConditions { signups_in_old_cell: 1, ..GOOD }, now + 10.0);
    assert_eq!(m.step, Step::Settling, "one is still in flight");
    m.advance(GOOD, now + 20.0);
    assert_eq!(m.step, Step::Done);
}

#[test]
fn overload_stops_the_share_and_then_halves_it() {
    let mut m = new_move();
    for now in [0.0, 100.0, 200.0] {
        m.advance(GOOD, now);
    }
    let before = moved_share(&m);
    let overloaded = MoveConditions { target_overloaded: true, ..GOOD };
    assert!(!m.advance(overloaded, 350.0));
    assert!(m.advance(overloaded, 400.0));
    assert!(moved_share(&m) < before * 0.6);
}

/// After an undo at any step, the old cell serves every request.
#[test]
fn an_undo_at_any_step_returns_everything_to_the_old_cell() {
    for steps in 0..8 {
        let mut m = new_move();
        for n in 0..steps {
            m.advance(MoveConditions { signups_in_old_cell: 1, ..GOOD }, f64::from(n) * 150.0);
        }
        let finished = m.is_finished();
        assert!(!finished && m.undo(5000.0), "{:?}", m.step);
        assert!((0..100).all(|o| m.serving_cell(o, false) == OLD && m.serving_cell(o, true) == OLD));
        assert!(!m.undo(6000.0), "a second undo does nothing");
    }
}

/// A target that loses its cache nodes during a move is abandoned; one that is never ready is never used.
#[test]
fn a_target_without_cache_nodes_is_not_used() {
    let not_ready = MoveConditions { target_ready: false, ..GOOD };
    let mut m = new_move();
    assert!(!m.advance(not_ready, 1e6));
    m.advance(GOOD, 1e6);
    m.advance(not_ready, 1e6 + 1.0);
    assert_eq!(m.step, Step::Undone);
}

#[test]
fn only_one_move_warms_a_cell_at_a_time() {
    let mut m = new_move();
    assert!(!m.advance(MoveConditions { target_busy: true, ..GOOD }, 500.0));
    assert!(m.advance(GOOD, 600.0));
}
