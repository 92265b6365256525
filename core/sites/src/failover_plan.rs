//! The plan for a loss, by a linear program: most value served within the capacities of sites, links, hubs and the origin; then as
//! few distant fills and as little change of the plan before as possible.

use std::collections::{BTreeMap, BTreeSet};

use good_lp::{
    microlp, variable, Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable,
};
use serde::{Deserialize, Serialize};

/// Weights of what comes after the value served, as fractions of the least priority weight: small enough that they never outweigh
/// a served request.
const MOVE_COST: f64 = 1e-3;
const FILL_COST: f64 = 1e-4;
const CHANGE_COST: f64 = 5e-4;
/// A fill through another than the nearest hub costs this many times as much.
const DISTANT_FILL_FACTOR: f64 = 2.0;
/// Rates below this are rounding errors.
const MIN_RATE: f64 = 1e-6;
const MIN_REJECTED_FRACTION: f64 = 1e-5;
/// What may be missing of a class that must be served whole, as a fraction of what is asked.
const MUST_SERVE_TOLERANCE: f64 = 1e-4;
/// A constraint is relaxed by this fraction to find out what that would bring.
const RELAXATION: f64 = 0.01;
/// A gain below this fraction of the value served is a rounding error.
const MIN_GAIN_FRACTION: f64 = 1e-6;

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Value of one served request.
    pub priority_weight: f64,
    /// Work of one request, in units of a branch's capacity.
    pub work: f64,
    /// Fills that one request causes on average.
    pub fills_per_request: f64,
    /// It has to be served whole; a plan that can't is an error.
    pub must_be_served: bool,
}

/// A branch or a hub.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteCapacity {
    /// Its name.
    pub name: String,
    /// Work a second that a branch's fronts and cache nodes bear; fills a second that a hub's parents bear.
    pub capacity: f64,
    /// What one more cache node adds to that.
    pub capacity_per_cache: f64,
    /// Requests a second of each class by a branch's own clients; empty for a hub.
    pub load: Vec<f64>,
    /// Fills a second over a branch's links to each hub, by the hub's place in [`Layout::hubs`]; 0 if there is no link.
    pub link_capacity: Vec<f64>,
}

/// All that a plan is made by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The branches.
    pub branches: Vec<SiteCapacity>,
    /// The hubs.
    pub hubs: Vec<SiteCapacity>,
    /// The fraction of a hub's fills that go on to the origin.
    pub origin_fraction: f64,
    /// Fills a second that the origin bears.
    pub origin_capacity: f64,
    /// The fraction of its own clients' requests that a branch may lose to displaced clients.
    pub max_own_loss: f64,
}

/// Which branches and hubs are lost, by their places.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Loss {
    /// Places in [`Layout::branches`].
    pub branches: BTreeSet<usize>,
    /// Places in [`Layout::hubs`].
    pub hubs: BTreeSet<usize>,
}

impl Loss {
    /// Whether nothing is lost.
    pub fn is_empty(&self) -> bool {
        self.branches.is_empty() && self.hubs.is_empty()
    }
}

/// Requests of one class that go from a lost branch to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DisplacedLoad {
    /// The lost branch.
    pub from: usize,
    /// The branch that serves them.
    pub to: usize,
    /// Their class.
    pub class: usize,
    /// Requests a second.
    pub rate: f64,
}

/// Requests that nobody serves.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RejectedLoad {
    /// The branch whose clients ask for them.
    pub branch: usize,
    /// Their class.
    pub class: usize,
    /// Requests a second.
    pub rate: f64,
}

/// A constraint of the linear program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BindingConstraint {
    /// The capacity of a branch.
    Branch(usize),
    /// The capacity of a hub.
    Hub(usize),
    /// The capacity of a branch's link to a hub.
    Link(usize, usize),
    /// The capacity of the origin.
    Origin,
}

/// A constraint, and what relaxing it by a hundredth would bring.
#[derive(Clone, Debug, PartialEq)]
pub struct Bottleneck {
    /// Which.
    pub constraint: BindingConstraint,
    /// More value served a second.
    pub gain: f64,
}

/// What one more cache node at a branch would bring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpansionGain {
    /// The branch.
    pub branch: usize,
    /// More value served a second.
    pub gain: f64,
}

/// Who serves what.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FailoverPlan {
    /// What goes from lost branches to others.
    pub moves: Vec<DisplacedLoad>,
    /// Requests a second of own clients that each branch serves, by class; 0 for a lost one.
    pub own: Vec<Vec<f64>>,
    /// Fills a second of each branch through each hub.
    pub fills: Vec<Vec<f64>>,
    /// What nobody serves: what is worth least for its work first.
    pub rejected: Vec<RejectedLoad>,
    /// Value served a second.
    pub value: f64,
    /// Value of all that is asked for a second.
    pub value_asked: f64,
}

impl FailoverPlan {
    /// Requests a second of a class that nobody serves, of a branch's clients.
    pub fn rejected_rate(&self, branch: usize, class: usize) -> f64 {
        let is_meant = |rejected: &&RejectedLoad| rejected.branch == branch && rejected.class == class;
        self.rejected.iter().find(is_meant).map_or(0.0, |rejected| rejected.rate)
    }
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// Some requests of a class that must be served can't be.
    #[error("{missing_rate:.2} requests a second of class {class}, which must be served, can't be")]
    MustServe {
        /// The class.
        class: usize,
        /// Requests a second.
        missing_rate: f64,
        /// The best plan all the same.
        plan: Box<FailoverPlan>,
    },
    /// A figure of the origin, or the tolerated loss of own clients, is no rate or fraction.
    #[error("the origin's figures, or own_loss, are no parts or rates")]
    InvalidOrigin,
    /// A figure of a class is no rate.
    #[error("class {name}: a figure is none")]
    InvalidClass {
        /// The class.
        name: String,
    },
    /// A figure of a site is no rate.
    #[error("site {name}: a figure is none")]
    InvalidSite {
        /// The site.
        name: String,
    },
    /// A site lacks a load or a link.
    #[error("site {name}: a load for each class and a link for each hub are wanted")]
    IncompleteSite {
        /// The site.
        name: String,
    },
    /// Own clients can't keep what they have.
    #[error("own clients of a taker could not keep what they have: the figures do not fit")]
    Infeasible,
    /// The solver failed.
    #[error("{0}")]
    Solver(String),
}

fn is_rate(figure: f64) -> bool {
    figure.is_finite() && figure >= 0.0
}

impl SiteCapacity {
    fn has_valid_figures(&self) -> bool {
        let figures = self.load.iter().chain(&self.link_capacity);
        figures.chain([&self.capacity, &self.capacity_per_cache]).all(|figure| is_rate(*figure))
    }

    /// The nearest hub is the one with the widest link.
    fn is_nearest_hub(&self, hub: usize) -> bool {
        let widest = self.link_capacity.iter().copied().fold(0.0, f64::max);
        self.link_capacity[hub] >= widest
    }
}

impl Layout {
    /// Checks whether a plan can be made by the figures.
    ///
    /// # Errors
    /// The first figure that is none.
    pub fn check(&self) -> Result<(), PlanError> {
        let is_origin_valid = is_rate(self.origin_fraction) && is_rate(self.origin_capacity);
        if !is_origin_valid || !(0.0..=1.0).contains(&self.max_own_loss) {
            return Err(PlanError::InvalidOrigin);
        }
        for class in &self.classes {
            let figures = [class.priority_weight, class.work, class.fills_per_request];
            if !figures.into_iter().all(is_rate) {
                return Err(PlanError::InvalidClass { name: class.name.clone() });
            }
        }
        for site in self.branches.iter().chain(&self.hubs) {
            if !site.has_valid_figures() {
                return Err(PlanError::InvalidSite { name: site.name.clone() });
            }
        }
        for site in &self.branches {
            let has_all_loads = site.load.len() == self.classes.len();
            if !has_all_loads || site.link_capacity.len() != self.hubs.len() {
                return Err(PlanError::IncompleteSite { name: site.name.clone() });
            }
        }
        Ok(())
    }

    /// Each loss of one site.
    pub fn single_losses(&self) -> Vec<Loss> {
        let branches = (0..self.branches.len()).map(|b| Loss { branches: [b].into(), ..Loss::default() });
        let hubs = (0..self.hubs.len()).map(|h| Loss { hubs: [h].into(), ..Loss::default() });
        branches.chain(hubs).collect()
    }

    fn remaining_branches(&self, loss: &Loss) -> Vec<usize> {
        (0..self.branches.len()).filter(|branch| !loss.branches.contains(branch)).collect()
    }

    fn remaining_hubs(&self, loss: &Loss) -> Vec<usize> {
        (0..self.hubs.len()).filter(|hub| !loss.hubs.contains(hub)).collect()
    }

    fn value_asked(&self) -> f64 {
        let value = |site: &SiteCapacity| {
            let by_class = site.load.iter().zip(&self.classes);
            by_class.map(|(rate, class)| rate * class.priority_weight).sum::<f64>()
        };
        self.branches.iter().map(value).sum()
    }

    /// The least priority weight above 0, or 1.
    fn least_weight(&self) -> f64 {
        let weights = self.classes.iter().map(|class| class.priority_weight).filter(|weight| *weight > 0.0);
        let least = weights.fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            least
        } else {
            1.0
        }
    }
}

/// The plan for a loss; `before` is what it should differ from as little as it can. Without a loss it is what is served on a usual
/// day.
///
/// # Errors
/// If the figures are invalid, the solver fails, or a class that must be served can't be.
pub fn plan(layout: &Layout, loss: &Loss, before: Option<&FailoverPlan>) -> Result<FailoverPlan, PlanError> {
    layout.check()?;
    let usual = if loss.is_empty() { None } else { Some(usual_plan(layout)?) };
    let plan = solve(layout, loss, usual.as_ref(), before)?;
    for (class, _) in layout.classes.iter().enumerate().filter(|(_, class)| class.must_be_served) {
        let rejected = plan.rejected.iter().filter(|rejected| rejected.class == class);
        let missing_rate: f64 = rejected.map(|rejected| rejected.rate).sum();
        let asked: f64 = layout.branches.iter().map(|branch| branch.load[class]).sum();
        if missing_rate > MUST_SERVE_TOLERANCE * asked.max(1.0) {
            return Err(PlanError::MustServe { class, missing_rate, plan: Box::new(plan) });
        }
    }
    Ok(plan)
}

fn usual_plan(layout: &Layout) -> Result<FailoverPlan, PlanError> {
    solve(layout, &Loss::default(), None, None)
}

/// Requests of one class that go from a lost branch to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MoveKey {
    from: usize,
    to: usize,
    class: usize,
}

/// The variables of the linear program.
struct Unknowns {
    moved: BTreeMap<MoveKey, Variable>,
    /// By branch and class.
    own: BTreeMap<(usize, usize), Variable>,
    /// By branch and hub.
    fills: BTreeMap<(usize, usize), Variable>,
    /// By how much each move differs from the plan before.
    changed: Vec<(MoveKey, Variable)>,
}

/// One linear program.
struct Problem<'a> {
    layout: &'a Layout,
    loss: &'a Loss,
    usual: Option<&'a FailoverPlan>,
    branches: Vec<usize>,
    hubs: Vec<usize>,
}

fn solve(
    layout: &Layout,
    loss: &Loss,
    usual: Option<&FailoverPlan>,
    before: Option<&FailoverPlan>,
) -> Result<FailoverPlan, PlanError> {
    let branches = layout.remaining_branches(loss);
    let hubs = layout.remaining_hubs(loss);
    let problem = Problem { layout, loss, usual, branches, hubs };
    let mut variables = ProblemVariables::new();
    let unknowns = problem.declare(&mut variables, before.is_some());
    let mut model = variables.maximise(problem.objective(&unknowns)).using(microlp);
    problem.constrain_branches(&mut model, &unknowns);
    problem.constrain_sources(&mut model, &unknowns);
    problem.constrain_moves(&mut model, &unknowns);
    if let Some(before) = before {
        constrain_changes(&mut model, &unknowns, before);
    }
    let solution = model.solve().map_err(|error| match error {
        ResolutionError::Infeasible => PlanError::Infeasible,
        error => PlanError::Solver(error.to_string()),
    })?;
    Ok(read_plan(layout, &unknowns, &solution))
}

impl Problem<'_> {
    fn classes(&self) -> std::ops::Range<usize> {
        0..self.layout.classes.len()
    }

    fn declare(&self, variables: &mut ProblemVariables, tracks_changes: bool) -> Unknowns {
        let mut unknowns = Unknowns {
            moved: BTreeMap::new(),
            own: BTreeMap::new(),
            fills: BTreeMap::new(),
            changed: Vec::new(),
        };
        for to in self.branches.iter().copied() {
            let branch = &self.layout.branches[to];
            for class in self.classes() {
                let load = branch.load[class];
                let least = self.least_own(to, class).min(load).max(0.0);
                unknowns.own.insert((to, class), variables.add(variable().min(least).max(load)));
                for from in self.loss.branches.iter().copied() {
                    let load = self.layout.branches[from].load[class];
                    let moved = variables.add(variable().min(0.0).max(load));
                    unknowns.moved.insert(MoveKey { from, to, class }, moved);
                }
            }
            for hub in self.hubs.iter().copied() {
                let filled = variables.add(variable().min(0.0).max(branch.link_capacity[hub]));
                unknowns.fills.insert((to, hub), filled);
            }
        }
        if tracks_changes {
            let keys = unknowns.moved.keys();
            unknowns.changed = keys.map(|key| (*key, variables.add(variable().min(0.0)))).collect();
        }
        unknowns
    }

    /// What a branch's own clients keep at the least: all but the tolerated loss of what they usually have, unless a hub is lost.
    fn least_own(&self, branch: usize, class: usize) -> f64 {
        if !self.loss.hubs.is_empty() {
            return 0.0;
        }
        let usual = self.usual.map_or(0.0, |usual| usual.own[branch][class]);
        usual * (1.0 - self.layout.max_own_loss)
    }

    fn objective(&self, unknowns: &Unknowns) -> Expression {
        let layout = self.layout;
        let weight = |class: usize| layout.classes[class].priority_weight;
        let own = unknowns.own.iter().map(|((_, class), served)| weight(*class) * *served);
        let moved = unknowns.moved.iter().map(|(key, served)| weight(key.class) * *served);
        let mut objective = own.chain(moved).sum::<Expression>();
        let unit = layout.least_weight();
        for moved in unknowns.moved.values() {
            objective -= unit * MOVE_COST * *moved;
        }
        for ((branch, hub), filled) in &unknowns.fills {
            let is_near = layout.branches[*branch].is_nearest_hub(*hub);
            let factor = if is_near { 1.0 } else { DISTANT_FILL_FACTOR };
            objective -= unit * FILL_COST * factor * *filled;
        }
        for (_, changed) in &unknowns.changed {
            objective -= unit * CHANGE_COST * *changed;
        }
        objective
    }

    /// Each branch bears its work, and fills what its requests miss.
    fn constrain_branches(&self, model: &mut impl SolverModel, unknowns: &Unknowns) {
        for to in self.branches.iter().copied() {
            let mut work = Expression::from(0.0);
            let mut fills = Expression::from(0.0);
            for class in self.classes() {
                let Class { work: work_per_request, fills_per_request, .. } = &self.layout.classes[class];
                let moved = self.loss.branches.iter().copied();
                let moved = moved.map(|from| unknowns.moved[&MoveKey { from, to, class }]);
                for served in moved.chain([unknowns.own[&(to, class)]]) {
                    work += *work_per_request * served;
                    fills += *fills_per_request * served;
                }
            }
            model.add_constraint(work.leq(self.layout.branches[to].capacity));
            for hub in self.hubs.iter().copied() {
                fills -= unknowns.fills[&(to, hub)];
            }
            model.add_constraint(fills.eq(0.0));
        }
    }

    /// Hubs and the origin bear the fills through them.
    fn constrain_sources(&self, model: &mut impl SolverModel, unknowns: &Unknowns) {
        for hub in self.hubs.iter().copied() {
            let fills = self.branches.iter().map(|to| Expression::from(unknowns.fills[&(*to, hub)]));
            model.add_constraint(fills.sum::<Expression>().leq(self.layout.hubs[hub].capacity));
        }
        if !unknowns.fills.is_empty() {
            let fills = unknowns.fills.values().map(|filled| self.layout.origin_fraction * *filled);
            model.add_constraint(fills.sum::<Expression>().leq(self.layout.origin_capacity));
        }
    }

    /// No more is moved than is asked for.
    fn constrain_moves(&self, model: &mut impl SolverModel, unknowns: &Unknowns) {
        for from in self.loss.branches.iter().copied() {
            for class in self.classes() {
                let moved = self.branches.iter().copied();
                let moved = moved.map(|to| Expression::from(unknowns.moved[&MoveKey { from, to, class }]));
                let load = self.layout.branches[from].load[class];
                model.add_constraint(moved.sum::<Expression>().leq(load));
            }
        }
    }
}

/// Each move differs from the plan before by its change at most, upwards and downwards.
fn constrain_changes(model: &mut impl SolverModel, unknowns: &Unknowns, before: &FailoverPlan) {
    for (key, changed) in &unknowns.changed {
        let is_same =
            |moved: &&DisplacedLoad| (moved.from, moved.to, moved.class) == (key.from, key.to, key.class);
        let rate_before = before.moves.iter().find(is_same).map_or(0.0, |moved| moved.rate);
        model.add_constraint((unknowns.moved[key] - *changed).leq(rate_before));
        model.add_constraint((unknowns.moved[key] + *changed).geq(rate_before));
    }
}

fn read_plan(layout: &Layout, unknowns: &Unknowns, solution: &impl Solution) -> FailoverPlan {
    let value =
        |variable: &Variable| Some(solution.value(*variable)).filter(|x| *x > MIN_RATE).unwrap_or(0.0);
    let classes = layout.classes.len();
    let mut plan = FailoverPlan {
        own: vec![vec![0.0; classes]; layout.branches.len()],
        fills: vec![vec![0.0; layout.hubs.len()]; layout.branches.len()],
        value_asked: layout.value_asked(),
        ..FailoverPlan::default()
    };
    let mut moved_away = vec![vec![0.0; classes]; layout.branches.len()];
    for (MoveKey { from, to, class }, variable) in &unknowns.moved {
        let rate = value(variable);
        if rate > 0.0 {
            moved_away[*from][*class] += rate;
            plan.moves.push(DisplacedLoad { from: *from, to: *to, class: *class, rate });
        }
    }
    for ((branch, class), variable) in &unknowns.own {
        plan.own[*branch][*class] = value(variable);
    }
    for ((branch, hub), variable) in &unknowns.fills {
        plan.fills[*branch][*hub] = value(variable);
    }
    add_up(layout, &moved_away, &mut plan);
    plan
}

/// Adds up the value served, and what nobody serves.
fn add_up(layout: &Layout, moved_away: &[Vec<f64>], plan: &mut FailoverPlan) {
    for (branch, site) in layout.branches.iter().enumerate() {
        for (class, moved) in moved_away[branch].iter().enumerate() {
            let served = plan.own[branch][class] + moved;
            plan.value += served * layout.classes[class].priority_weight;
            let rate = site.load[class] - served;
            if rate > MIN_RATE.max(MIN_REJECTED_FRACTION * site.load[class]) {
                plan.rejected.push(RejectedLoad { branch, class, rate });
            }
        }
    }
    let value_of_work = |class: usize| {
        let class = &layout.classes[class];
        class.priority_weight / class.work.max(1e-9)
    };
    plan.rejected.sort_by(|a, b| {
        let by_value = value_of_work(a.class).total_cmp(&value_of_work(b.class));
        by_value.then(a.branch.cmp(&b.branch))
    });
}

/// The constraint whose relaxation would bring the most; `None` if none would bring anything.
///
/// # Errors
/// If the solver fails.
pub fn tightest_bottleneck(layout: &Layout, loss: &Loss) -> Result<Option<Bottleneck>, PlanError> {
    let usual = usual_plan(layout)?;
    let value = solve(layout, loss, Some(&usual), None)?.value;
    let mut best: Option<Bottleneck> = None;
    for constraint in constraints(layout, loss) {
        let relaxed = relax(layout, &constraint);
        let gain = solve(&relaxed, loss, Some(&usual), None)?.value - value;
        let is_best = best.as_ref().is_none_or(|best| gain > best.gain);
        if gain > MIN_GAIN_FRACTION * value.max(1.0) && is_best {
            best = Some(Bottleneck { constraint, gain });
        }
    }
    Ok(best)
}

fn constraints(layout: &Layout, loss: &Loss) -> Vec<BindingConstraint> {
    let mut constraints = Vec::new();
    for branch in layout.remaining_branches(loss) {
        constraints.push(BindingConstraint::Branch(branch));
        let hubs = layout.remaining_hubs(loss).into_iter();
        constraints.extend(hubs.map(|hub| BindingConstraint::Link(branch, hub)));
    }
    constraints.extend(layout.remaining_hubs(loss).into_iter().map(BindingConstraint::Hub));
    constraints.push(BindingConstraint::Origin);
    constraints
}

fn relax(layout: &Layout, constraint: &BindingConstraint) -> Layout {
    let mut relaxed = layout.clone();
    let figure = match constraint {
        BindingConstraint::Branch(branch) => &mut relaxed.branches[*branch].capacity,
        BindingConstraint::Link(branch, hub) => &mut relaxed.branches[*branch].link_capacity[*hub],
        BindingConstraint::Hub(hub) => &mut relaxed.hubs[*hub].capacity,
        BindingConstraint::Origin => &mut relaxed.origin_capacity,
    };
    *figure *= 1.0 + RELAXATION;
    relaxed
}

/// What one more cache node at each remaining branch would bring.
///
/// # Errors
/// If the solver fails.
pub fn expansion_gains(layout: &Layout, loss: &Loss) -> Result<Vec<ExpansionGain>, PlanError> {
    let usual = usual_plan(layout)?;
    let value = solve(layout, loss, Some(&usual), None)?.value;
    let mut gains = Vec::new();
    for branch in layout.remaining_branches(loss) {
        let mut larger = layout.clone();
        larger.branches[branch].capacity += larger.branches[branch].capacity_per_cache;
        let gain = solve(&larger, loss, Some(&usual), None)?.value - value;
        gains.push(ExpansionGain { branch, gain });
    }
    Ok(gains)
}
