use super::*;

const OLD: CellIx = CellIx(0);
const NEW: CellIx = CellIx(1);
const FINE: Facts = Facts { target_ready: true, target_strained: false, target_taken: false, once_in_old: 0 };

fn fresh() -> Move {
    Move::new(ShopId(7), OLD, NEW, 100.0, 1000.0, 0.0)
}

fn share(m: &Move) -> f64 {
    (0..10_000u64).filter(|o| m.place(*o, false) == NEW).count() as f64 / 10_000.0
}

#[test]
fn the_share_rises_and_signups_go_last() {
    let (mut m, mut now, mut last) = (fresh(), 0.0, 0.0);
    while m.step != Step::Settling {
        assert_eq!(m.place(3, true), OLD, "a signup before its time, {:?}", m.step);
        m.advance(FINE, now);
        assert!(share(&m) >= last && share(&m) <= (last * 2.1).max(0.08), "{last} to {}", share(&m));
        last = share(&m);
        now += 50.0;
    }
    assert_eq!((m.place(3, true), last), (NEW, 1.0));
    m.advance(Facts { once_in_old: 1, ..FINE }, now + 10.0);
    assert_eq!(m.step, Step::Settling, "one is still in flight");
    m.advance(FINE, now + 20.0);
    assert_eq!(m.step, Step::Done);
}

#[test]
fn strain_holds_it_and_takes_half_back() {
    let mut m = fresh();
    for now in [0.0, 100.0, 200.0] {
        m.advance(FINE, now);
    }
    let before = share(&m);
    let strained = Facts { target_strained: true, ..FINE };
    assert!(!m.advance(strained, 350.0));
    assert!(m.advance(strained, 400.0));
    assert!(share(&m) < before * 0.6);
}

/// Undone at each of its steps: everything is served where it was.
#[test]
fn undone_at_each_step() {
    for steps in 0..8 {
        let mut m = fresh();
        for n in 0..steps {
            m.advance(Facts { once_in_old: 1, ..FINE }, f64::from(n) * 150.0);
        }
        let over = m.is_over();
        assert!(!over && m.undo(5000.0), "{:?}", m.step);
        assert!((0..100).all(|o| m.place(o, false) == OLD && m.place(o, true) == OLD));
        assert!(!m.undo(6000.0), "once");
    }
}

/// A target that begins to drain in its middle is left; one that is never ready is never used.
#[test]
fn a_target_without_boxes() {
    let none = Facts { target_ready: false, ..FINE };
    let mut m = fresh();
    assert!(!m.advance(none, 1e6));
    m.advance(FINE, 1e6);
    m.advance(none, 1e6 + 1.0);
    assert_eq!(m.step, Step::Undone);
}

/// Only one move warms a cell at a time.
#[test]
fn two_moves_to_one_cell() {
    let mut m = fresh();
    assert!(!m.advance(Facts { target_taken: true, ..FINE }, 500.0));
    assert!(m.advance(FINE, 600.0));
}
