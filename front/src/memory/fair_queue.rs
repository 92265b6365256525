//! A queue that serves its sources in turns: first by address, then by connection. A source that has much waiting delays
//! only itself. It holds what its owner lets in; it has no bound of its own.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::net::IpAddr;

/// Where an item comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    pub address: IpAddr,
    /// Identifies the connection within the process.
    pub connection: u64,
}

/// Values by key, with the keys in the order of their turns.
#[derive(Debug)]
struct Rotation<K, V> {
    turns: VecDeque<K>,
    values: HashMap<K, V>,
}

impl<K: Copy + Eq + Hash, V: Default> Rotation<K, V> {
    fn new() -> Rotation<K, V> {
        Rotation { turns: VecDeque::new(), values: HashMap::new() }
    }

    /// The value of a key; a new key has its turn last.
    fn get_or_add(&mut self, key: K) -> &mut V {
        let turns = &mut self.turns;
        self.values.entry(key).or_insert_with(|| {
            turns.push_back(key);
            V::default()
        })
    }

    /// Takes something from the value whose turn it is, and puts it last, or removes it where `is_empty` says so.
    fn take_turn<T>(
        &mut self,
        take: impl FnOnce(&mut V) -> Option<T>,
        is_empty: impl FnOnce(&V) -> bool,
    ) -> Option<T> {
        let key = self.turns.pop_front()?;
        let value = self.values.get_mut(&key)?;
        let taken = take(value);
        if is_empty(value) {
            self.values.remove(&key);
        } else {
            self.turns.push_back(key);
        }
        taken
    }

    fn remove(&mut self, key: K) {
        if self.values.remove(&key).is_some() {
            self.turns.retain(|other| *other != key);
        }
    }
}

impl<K: Copy + Eq + Hash, V: Default> Default for Rotation<K, V> {
    fn default() -> Rotation<K, V> {
        Rotation::new()
    }
}

type ConnectionQueues<T> = Rotation<u64, VecDeque<T>>;

/// The queue.
#[derive(Debug)]
pub struct FairQueue<T> {
    addresses: Rotation<IpAddr, ConnectionQueues<T>>,
}

impl<T> FairQueue<T> {
    /// An empty queue.
    pub fn new() -> FairQueue<T> {
        FairQueue { addresses: Rotation::new() }
    }

    /// Adds an item behind the others of its source.
    pub fn push(&mut self, source: Source, item: T) {
        let connections = self.addresses.get_or_add(source.address);
        connections.get_or_add(source.connection).push_back(item);
    }

    /// Takes the next item of the source whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let next_item = |items: &mut VecDeque<T>| items.pop_front();
        let next_connection =
            |connections: &mut ConnectionQueues<T>| connections.take_turn(next_item, VecDeque::is_empty);
        self.addresses.take_turn(next_connection, |connections| connections.turns.is_empty())
    }

    /// Takes the first item of a source for which the condition holds.
    pub fn remove(&mut self, source: Source, matches: impl Fn(&T) -> bool) -> Option<T> {
        let connections = self.addresses.values.get_mut(&source.address)?;
        let items = connections.values.get_mut(&source.connection)?;
        let item = items.remove(items.iter().position(matches)?);
        if items.is_empty() {
            connections.remove(source.connection);
        }
        if connections.turns.is_empty() {
            self.addresses.remove(source.address);
        }
        item
    }

    /// The source of the first item for which the condition holds. It looks at all items.
    pub fn source_of(&self, matches: impl Fn(&T) -> bool) -> Option<Source> {
        let mut by_connection = self.addresses.values.iter().flat_map(|(address, connections)| {
            let sources = connections.values.iter();
            sources.map(|(id, items)| (Source { address: *address, connection: *id }, items))
        });
        by_connection.find(|(_, items)| items.iter().any(&matches)).map(|(source, _)| source)
    }
}

#[cfg(test)]
mod tests;
