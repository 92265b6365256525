//! Divides the fills from parents and origin among cells: each cell has a guaranteed share, and may borrow what the
//! others leave unused.
//!
//! Each cell has a token bucket for its share. Tokens that a full bucket can't take go into a pool from which any cell
//! may take. So only unused tokens are lent, all cells together never take more than the whole rate plus one
//! `recall_ms` of it at once, and a cell that becomes active finds its own bucket full: lent capacity is returned
//! within `recall_ms`.

use crate::Ms;

/// The token bucket of one cell.
#[derive(Clone, Debug)]
struct Bucket {
    /// Tokens per second.
    rate: f64,
    tokens: f64,
    capacity: f64,
}

/// The buckets of all cells, and the pool of unused tokens.
#[derive(Clone, Debug)]
pub struct Shares {
    cells: Vec<Bucket>,
    pool: f64,
    pool_capacity: f64,
    now: Ms,
    unlimited: bool,
}

/// Where a token was taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenSource {
    Own,
    Pool,
}

impl Shares {
    /// `rate` is the number of fills per second of all cells; 0 is no limit. `fractions` are the cells' shares of it; a
    /// part that no cell has is not used.
    pub fn new(rate: f64, fractions: &[f64], recall_ms: Ms, now: Ms) -> Shares {
        let recall_s = recall_ms / 1000.0;
        let bucket = |fraction: &f64| {
            let (rate, capacity) = (rate * fraction, (rate * fraction * recall_s).max(1.0));
            Bucket { rate, tokens: capacity, capacity }
        };
        let pool_capacity = (rate * recall_s / 2.0).max(1.0);
        Shares {
            cells: fractions.iter().map(bucket).collect(),
            pool: 0.0,
            pool_capacity,
            now,
            unlimited: rate <= 0.0,
        }
    }

    fn advance(&mut self, now: Ms) {
        let passed_s = (now - self.now).clamp(0.0, 60_000.0) / 1000.0;
        if passed_s.is_nan() || passed_s <= 0.0 {
            return;
        }
        self.now = now;
        for bucket in &mut self.cells {
            let filled = bucket.tokens + bucket.rate * passed_s;
            bucket.tokens = filled.min(bucket.capacity);
            self.pool = (self.pool + filled - bucket.tokens).min(self.pool_capacity);
        }
    }

    /// Takes a token for one fill of a cell, if there is one.
    pub fn take(&mut self, cell: usize, now: Ms) -> Option<TokenSource> {
        if self.unlimited {
            return Some(TokenSource::Own);
        }
        self.advance(now);
        let bucket = self.cells.get_mut(cell)?;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Some(TokenSource::Own);
        }
        if self.pool >= 1.0 {
            self.pool -= 1.0;
            return Some(TokenSource::Pool);
        }
        None
    }

    /// Whether there is a token for a fill of the cell; takes none.
    pub fn has_token(&mut self, cell: usize, now: Ms) -> bool {
        self.advance(now);
        self.unlimited || self.pool >= 1.0 || self.cells.get(cell).is_some_and(|b| b.tokens >= 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn take_all(shares: &mut Shares, cell: usize, per_ms: usize, from: usize, to: usize) -> usize {
        (from..to).map(|t| (0..per_ms).filter(|_| shares.take(cell, t as f64).is_some()).count()).sum()
    }

    /// A cell with unlimited demand gets its share and what the others leave unused, never more than the whole rate.
    #[test]
    fn unused_tokens_are_lent() {
        let mut shares = Shares::new(100.0, &[0.25, 0.25, 0.5], 1000.0, 0.0);
        let taken = take_all(&mut shares, 0, 5, 0, 10_000);
        assert!((950..=1080).contains(&taken), "{taken} in 10 s");
    }

    /// A cell that becomes active has its share at once, and the borrower is back at its own within the recall time.
    #[test]
    fn lent_tokens_are_recalled() {
        let mut shares = Shares::new(100.0, &[0.5, 0.5], 1000.0, 0.0);
        take_all(&mut shares, 0, 5, 0, 5000);
        let (mut lender, mut borrower, mut lent_late) = (0, 0, 0);
        for t in 5000..8000 {
            borrower += usize::from(shares.take(0, f64::from(t)).is_some());
            lender += usize::from(shares.take(1, f64::from(t)).is_some());
            if t >= 6000 {
                lent_late += usize::from(shares.take(0, f64::from(t)) == Some(TokenSource::Pool));
            }
        }
        assert!(lender >= 190, "{lender}: a share of 50 per second, and a full bucket");
        assert!(borrower + lent_late <= 160 && lent_late == 0, "{borrower} {lent_late}");
    }

    #[test]
    fn clock_jumps_give_at_most_one_bucket() {
        let mut shares = Shares::new(100.0, &[1.0], 1000.0, 1e9);
        assert!(take_all(&mut shares, 0, 1, 0, 200) <= 150, "set back: at most one bucket");
        assert!((0..10_000).filter(|_| shares.take(0, 1e15).is_some()).count() <= 150, "far ahead");
        assert!((0..10).all(|_| shares.take(0, f64::NAN).is_none()));
        assert!(shares.take(7, 1e15).is_none(), "no such cell");
    }
}
