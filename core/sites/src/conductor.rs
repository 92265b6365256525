//! What the leader proposes of sites: from what fronts say with their asks, and by its own clock from its own beginning as leader. All of
//! it is volatile; a new leader hears it again.
//!
//! A site's word is what most of its fronts say that can be heard; a site of which none can be heard says nothing any more. So one front,
//! or one site with a broken link, has one word of many.

use std::collections::BTreeMap;

use elmtide_budgets::{FrontId, HolderId, Micros};

use crate::state::{Command, SiteId, Standing, State, SITES};
use crate::view::{Said, Since, View};
use crate::watch::{most, Word};

/// Fronts that are remembered.
const FRONTS: usize = 4096;

/// What the file says: of which site each front is, and how long each step of a return takes at the least, in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    pub sites: u16,
    /// Milliseconds for which words have to be held, at first and at the most.
    pub patience: u64,
    pub ceiling: u64,
    pub pace: u64,
    pub fronts: BTreeMap<FrontId, SiteId>,
}

pub struct Now {
    pub steady: Micros,
    /// Unix clock in milliseconds.
    pub wall: u64,
    pub lease: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Conductor {
    said: BTreeMap<FrontId, (HolderId, Micros, Said)>,
}

impl Conductor {
    pub fn on_said(&mut self, holder: HolderId, mut said: Said, now: Micros) {
        said.words.truncate(SITES);
        let later = self.said.get(&holder.front).is_some_and(|(h, ..)| h.incarnation > holder.incarnation);
        if !later && (self.said.len() < FRONTS || self.said.contains_key(&holder.front)) {
            self.said.insert(holder.front, (holder, now, said));
        }
    }

    /// What goes with an answer to a front that says something of sites.
    pub fn view(&self, state: &State, front: FrontId) -> Option<View> {
        self.said.get(&front)?;
        let since = |e: &crate::state::Entry| Since { at: e.since, by_operator: e.by_operator };
        let sites = state.entries().values().map(|e| (e.standing, since(e))).collect();
        (state.version() > 0).then(|| View { number: state.number(), version: state.version(), sites })
    }

    /// Fronts that decide by an older view.
    pub fn behind<'a>(&'a self, state: &'a State) -> impl Iterator<Item = HolderId> + 'a {
        let number = state.number();
        let behind =
            self.said.values().filter(move |(_, _, said)| said.seen.is_some_and(|seen| seen < number));
        behind.map(|(holder, ..)| *holder)
    }

    fn fresh<'a>(
        &'a self,
        rules: &'a Rules,
        now: &'a Now,
        site: SiteId,
    ) -> impl Iterator<Item = &'a Said> + 'a {
        let of = move |front: &FrontId| rules.fronts.get(front) == Some(&site);
        let heard = self
            .said
            .iter()
            .filter(move |(front, (_, at, _))| of(front) && now.steady.saturating_sub(*at) <= now.lease);
        heard.map(|(_, (_, _, said))| said)
    }

    /// What is to be proposed now: words that have changed, losses, steps of returns.
    pub fn propose(&self, state: &State, rules: &Rules, now: &Now) -> Vec<Command> {
        let at = now.wall;
        let mut commands = Vec::new();
        for by in state.entries().keys().copied() {
            let said: Vec<&Said> = self.fresh(rules, now, by).collect();
            let word = |of: SiteId| {
                let on =
                    |s: &&Said| s.words.iter().find(|(site, _)| *site == of).map_or(Word::FINE, |(_, w)| *w);
                most(&said.iter().map(on).collect::<Vec<_>>())
            };
            let others = || state.entries().keys().copied().filter(|of| *of != by);
            let words: Vec<(SiteId, Word)> = match said.is_empty() {
                true => Vec::new(),
                false => others().map(|of| (of, word(of))).filter(|(_, w)| *w != Word::FINE).collect(),
            };
            let before: Vec<(SiteId, Word)> =
                others().map(|of| (of, state.word(by, of))).filter(|(_, w)| *w != Word::FINE).collect();
            if words != before {
                commands.push(Command::Say { by, words, at });
            }
        }
        commands.extend(state.to_declare(at));
        let returning =
            state.entries().iter().filter(|(_, e)| e.standing != Standing::Present && !e.by_operator);
        for (site, entry) in returning {
            let waited = at.saturating_sub(entry.since) >= rules.pace;
            let next = entry.standing.next().filter(|_| waited && self.may_step(state, rules, now, *site));
            if let Some(to) = next {
                commands.push(Command::Step { site: *site, number: entry.number, to, at });
            }
        }
        commands
    }

    /// Whether what the next step of a site's return rests on is there.
    fn may_step(&self, state: &State, rules: &Rules, now: &Now, site: SiteId) -> bool {
        let Some(entry) = state.entries().get(&site) else { return false };
        let of_site = rules.fronts.values().filter(|s| **s == site).count();
        let said: Vec<&Said> = self.fresh(rules, now, site).collect();
        // A hub has no fronts: it is heard again when no site says that it is not.
        let heard = of_site == 0 || said.len() * 2 > of_site;
        let silent = state.entries().keys().any(|by| *by != site && state.word(*by, site).says_lost());
        let sees = said.iter().all(|s| s.seen == Some(state.number()));
        let all = |what: &dyn Fn(&Said) -> bool| said.iter().all(|s| what(s));
        heard
            && !silent
            && match entry.standing {
                Standing::Lost => true,
                Standing::Contact => sees && all(&|s| s.caught_up),
                Standing::CaughtUp => sees && all(&|s| s.caught_up && s.warm),
                // The takers' strain is no reason to keep clients from home.
                Standing::Warm | Standing::Quarter | Standing::Half => sees && all(&|s| !s.strained),
                Standing::Present => false,
            }
    }
}
