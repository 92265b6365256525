//! The members named by the lists: their wire names and addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use elmtide::MemberId;

use crate::exchange::MemberUpdate;

/// Number of members at which those that are gone are removed before another is added.
const MAX_MEMBERS: usize = 4096;

/// A listed member.
#[derive(Clone, Debug)]
pub struct Member {
    pub name: Arc<str>,
    pub addr: Option<SocketAddr>,
    pub gone: bool,
}

/// The known members by id.
#[derive(Debug, Default)]
pub struct Members(BTreeMap<MemberId, Member>);

/// The id of a member: the FNV-1a hash of its name. It is the same at every front and after every restart, because
/// the tables of the decision module are built from it and must agree between fronts.
pub fn member_id(name: &str) -> MemberId {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
    MemberId(name.bytes().fold(0xCBF2_9CE4_8422_2325, step))
}

impl Members {
    pub fn learn(&mut self, news: &MemberUpdate) {
        if self.0.len() >= MAX_MEMBERS && !self.0.contains_key(&news.member) {
            self.0.retain(|_, m| !m.gone);
        }
        let member = Member { name: news.name.clone(), addr: news.addr, gone: news.gone };
        self.0.insert(news.member, member);
    }

    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.0.get(&id)
    }

    /// Keeps the members for which `keep` returns true, given the id and whether the member is gone.
    pub fn retain(&mut self, keep: impl Fn(&MemberId, bool) -> bool) {
        self.0.retain(|id, member| keep(id, member.gone));
    }

    pub fn ids(&self) -> Vec<MemberId> {
        self.0.keys().copied().collect()
    }

    pub fn set_gone(&mut self, id: MemberId) {
        self.0.entry(id).and_modify(|m| m.gone = true);
    }
}
