//! In-memory state of a front. All of it has fixed limits.

pub mod announced;
pub mod budget;
pub mod counters;
pub mod exchanges;
pub mod failing;
pub mod fair_queue;
pub mod figures;
pub mod job_claims;
pub mod job_ids;
pub mod ledger;
pub mod longest;
pub mod members;
pub mod mode;
pub mod request_queue;
pub mod resolved;
