//! The waiting requests of a cell. Shops take turns by deficit round robin; within a shop signups go first, then
//! requests in the order of arrival. The queue has a capacity in all and for each shop; when it is full, the shop with
//! most waiting requests gives up a place.

use std::collections::{BTreeMap, VecDeque};

use crate::{Ms, ShopId};

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    pub id: u32,
    pub shop: ShopId,
    /// It must not run twice (a signup); such requests go first.
    pub once: bool,
    /// Cost of running it; 1 for an ordinary request.
    pub cost: f64,
    /// The latest time at which starting it is still of use.
    pub start_by: Ms,
    pub arrived_at: Ms,
}

/// The waiting requests of one shop.
#[derive(Debug, Default)]
struct ShopQueue {
    signups: VecDeque<QueuedRequest>,
    others: VecDeque<QueuedRequest>,
    deficit: f64,
}

impl ShopQueue {
    fn len(&self) -> usize {
        self.signups.len() + self.others.len()
    }

    fn front(&self) -> Option<&QueuedRequest> {
        self.signups.front().or(self.others.front())
    }

    fn pop(&mut self) -> Option<QueuedRequest> {
        self.signups.pop_front().or_else(|| self.others.pop_front())
    }

    /// Removes the request of least value: the last one that is not a signup, else the last signup.
    fn pop_last(&mut self) -> Option<QueuedRequest> {
        self.others.pop_back().or_else(|| self.signups.pop_back())
    }
}

/// The bounded, fair queue of one cell.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    shop_capacity: usize,
    by_shop: BTreeMap<ShopId, ShopQueue>,
    /// The shops that have waiting requests; the first one has its turn.
    rotation: VecDeque<ShopId>,
    len: usize,
}

/// Result of [`Queue::enqueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Enqueued {
    Waiting,
    /// The request waits, and the given one has lost its place to it.
    Displaced(QueuedRequest),
    /// The request's shop may not have more waiting requests.
    ShopFull,
}

impl Queue {
    pub fn new(capacity: usize, shop_capacity: usize) -> Queue {
        Queue { capacity, shop_capacity, by_shop: BTreeMap::new(), rotation: VecDeque::new(), len: 0 }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Waiting requests of one shop.
    pub fn len_of_shop(&self, shop: ShopId) -> usize {
        self.by_shop.get(&shop).map_or(0, ShopQueue::len)
    }

    /// Number of shops that have waiting requests.
    pub fn shop_count(&self) -> usize {
        self.rotation.len()
    }

    /// Adds a request, which may displace another one.
    pub fn enqueue(&mut self, request: QueuedRequest) -> Enqueued {
        let own_len = self.len_of_shop(request.shop);
        let mut displaced = None;
        if own_len >= self.shop_capacity {
            // A signup displaces the last request of its own shop that is not a signup.
            let shop_queue = self.by_shop.get_mut(&request.shop);
            match shop_queue.filter(|_| request.once).and_then(|q| q.others.pop_back()) {
                Some(other) => displaced = Some(other),
                None => return Enqueued::ShopFull,
            }
            self.len -= 1;
        } else if self.len >= self.capacity {
            let longest = self.by_shop.iter().max_by_key(|(_, q)| q.len()).map(|(s, q)| (*s, q.len()));
            match longest {
                Some((shop, len)) if len > own_len + 1 => displaced = self.displace_last(shop),
                _ => return Enqueued::ShopFull,
            }
        }
        let shop_queue = self.by_shop.entry(request.shop).or_insert_with(|| {
            self.rotation.push_back(request.shop);
            ShopQueue::default()
        });
        match request.once {
            true => shop_queue.signups.push_back(request),
            false => shop_queue.others.push_back(request),
        }
        self.len += 1;
        displaced.map_or(Enqueued::Waiting, Enqueued::Displaced)
    }

    fn displace_last(&mut self, shop: ShopId) -> Option<QueuedRequest> {
        let shop_queue = self.by_shop.get_mut(&shop)?;
        let displaced = shop_queue.pop_last();
        self.len -= usize::from(displaced.is_some());
        if shop_queue.len() == 0 {
            self.remove_shop(shop);
        }
        displaced
    }

    fn remove_shop(&mut self, shop: ShopId) {
        self.by_shop.remove(&shop);
        self.rotation.retain(|s| *s != shop);
    }

    /// Removes the next request to start, of a shop for which `may_start` holds. Each turn adds 1 to a shop's deficit,
    /// so that a costly request waits for several turns.
    pub fn dequeue(&mut self, may_start: impl Fn(ShopId) -> bool) -> Option<QueuedRequest> {
        // A cost is limited to 16 turns, so that this many turns are enough for any request.
        let mut turns = self.rotation.len() * 16;
        while turns > 0 {
            turns -= 1;
            let shop = *self.rotation.front()?;
            let shop_queue = self.by_shop.get_mut(&shop)?;
            let cost = shop_queue.front().map_or(0.0, |r| r.cost.clamp(0.1, 16.0));
            if may_start(shop) && shop_queue.deficit >= cost {
                shop_queue.deficit -= cost;
                let next = shop_queue.pop();
                self.len -= usize::from(next.is_some());
                if shop_queue.len() == 0 {
                    self.remove_shop(shop);
                }
                return next;
            }
            if may_start(shop) {
                shop_queue.deficit += 1.0;
                if shop_queue.deficit >= cost {
                    continue;
                }
            }
            self.rotation.rotate_left(1);
        }
        None
    }

    /// Removes the requests that are too late to start.
    pub fn take_expired(&mut self, now: Ms) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        for shop_queue in self.by_shop.values_mut() {
            for requests in [&mut shop_queue.signups, &mut shop_queue.others] {
                expired.extend(requests.iter().filter(|r| r.start_by <= now));
                requests.retain(|r| r.start_by > now);
            }
        }
        self.len -= expired.len();
        let empty: Vec<ShopId> = self.by_shop.iter().filter(|(_, q)| q.len() == 0).map(|(s, _)| *s).collect();
        empty.into_iter().for_each(|shop| self.remove_shop(shop));
        expired
    }

    /// Removes a request whose client has left; returns whether it was waiting.
    pub fn remove(&mut self, id: u32) -> bool {
        for (shop, shop_queue) in &mut self.by_shop {
            let before = shop_queue.len();
            shop_queue.signups.retain(|r| r.id != id);
            shop_queue.others.retain(|r| r.id != id);
            if shop_queue.len() < before {
                self.len -= 1;
                let (shop, empty) = (*shop, shop_queue.len() == 0);
                if empty {
                    self.remove_shop(shop);
                }
                return true;
            }
        }
        false
    }

    /// Removes and returns all requests, to be refused.
    pub fn clear(&mut self) -> Vec<QueuedRequest> {
        let by_shop = std::mem::take(&mut self.by_shop);
        self.rotation.clear();
        self.len = 0;
        by_shop.into_values().flat_map(|q| q.signups.into_iter().chain(q.others)).collect()
    }

    /// The earliest time at which a request becomes too late to start.
    pub fn next_expiry(&self) -> Option<Ms> {
        let all = self.by_shop.values().flat_map(|q| q.signups.iter().chain(&q.others));
        all.map(|r| r.start_by).min_by(f64::total_cmp)
    }
}
