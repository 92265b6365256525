//! Computes the plan for a loss with a linear program. It maximizes the value served within the capacities of branches,
//! links, hubs and the origin. With lower weight it minimizes displaced requests, fills, distant fills in particular,
//! and differences from the previous plan.

use std::collections::{BTreeMap, BTreeSet};

use good_lp::{
    microlp, variable, Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable,
};
use serde::{Deserialize, Serialize};

/// Costs of displaced requests, of fills and of differences from the previous plan, as fractions of the lowest priority
/// weight. They are small enough never to outweigh a served request.
const MOVE_COST: f64 = 1e-3;
const FILL_COST: f64 = 1e-4;
const CHANGE_COST: f64 = 5e-4;
/// Cost of a fill through any hub but the nearest, as a multiple of [`FILL_COST`].
const DISTANT_FILL_FACTOR: f64 = 2.0;
/// Rates below this value are treated as rounding errors.
const MIN_RATE: f64 = 1e-6;
/// Rejected rates below this fraction of the load are treated as rounding errors.
const MIN_REJECTED_FRACTION: f64 = 1e-5;
/// Tolerated unserved fraction of a class that must be served in full.
const MUST_SERVE_TOLERANCE: f64 = 1e-4;
/// Fraction by which a constraint is relaxed to measure its effect on the value served.
const RELAXATION: f64 = 0.01;
/// Gains below this fraction of the value served are treated as rounding errors.
const MIN_GAIN_FRACTION: f64 = 1e-6;

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Value of one served request.
    pub priority_weight: f64,
    /// Work of one request, in units of a branch's capacity.
    pub work: f64,
    /// Average number of fills caused by one request.
    pub fills_per_request: f64,
    /// Whether all of its requests must be served; a plan that rejects some is an error.
    pub must_be_served: bool,
}

/// The capacity and load of a branch or a hub.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteCapacity {
    /// Name of the site.
    pub name: String,
    /// Maximum work per second of a branch's fronts and cache nodes, or maximum fills per second of a hub's parents.
    pub capacity: f64,
    /// Capacity that one more cache node would add.
    pub capacity_per_cache: f64,
    /// Requests per second from a branch's own clients, by class; empty for a hub.
    pub load: Vec<f64>,
    /// Maximum fills per second over a branch's link to each hub, in the order of [`Layout::hubs`]; 0 without a link.
    pub link_capacity: Vec<f64>,
}

/// The input of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The branches.
    pub branches: Vec<SiteCapacity>,
    /// The hubs.
    pub hubs: Vec<SiteCapacity>,
    /// The fraction of a hub's fills that are passed on to the origin.
    pub origin_fraction: f64,
    /// Maximum fills per second of the origin.
    pub origin_capacity: f64,
    /// The fraction of its own clients' requests that a branch may reject in favor of displaced clients.
    pub max_own_loss: f64,
}

/// The lost branches and hubs, by index.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Loss {
    /// Indexes into [`Layout::branches`].
    pub branches: BTreeSet<usize>,
    /// Indexes into [`Layout::hubs`].
    pub hubs: BTreeSet<usize>,
}

impl Loss {
    /// Whether nothing is lost.
    pub fn is_empty(&self) -> bool {
        self.branches.is_empty() && self.hubs.is_empty()
    }
}

/// Requests of one class that are redirected from a lost branch to another branch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DisplacedLoad {
    /// The lost branch.
    pub from: usize,
    /// The branch that serves them.
    pub to: usize,
    /// The class of the requests.
    pub class: usize,
    /// Requests per second.
    pub rate: f64,
}

/// Requests of one class that no branch serves.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RejectedLoad {
    /// The home branch of the clients.
    pub branch: usize,
    /// The class of the requests.
    pub class: usize,
    /// Requests per second.
    pub rate: f64,
}

/// A constraint of the linear program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BindingConstraint {
    /// The capacity of a branch.
    Branch(usize),
    /// The capacity of a hub.
    Hub(usize),
    /// The capacity of a link, by branch and hub.
    Link(usize, usize),
    /// The capacity of the origin.
    Origin,
}

/// A constraint, with the effect of relaxing it by one percent.
#[derive(Clone, Debug, PartialEq)]
pub struct Bottleneck {
    /// The constraint.
    pub constraint: BindingConstraint,
    /// Increase of the value served per second.
    pub gain: f64,
}

/// The effect of adding one cache node at a branch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpansionGain {
    /// The branch.
    pub branch: usize,
    /// Increase of the value served per second.
    pub gain: f64,
}

/// The distribution of all requests and fills.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FailoverPlan {
    /// Requests redirected from lost branches to others.
    pub moves: Vec<DisplacedLoad>,
    /// Requests per second that each branch serves for its own clients, by class; 0 for a lost branch.
    pub own: Vec<Vec<f64>>,
    /// Fills per second of each branch through each hub.
    pub fills: Vec<Vec<f64>>,
    /// Rejected requests, those with the lowest value per unit of work first.
    pub rejected: Vec<RejectedLoad>,
    /// Value served per second.
    pub value: f64,
    /// Value of all requests per second, whether served or not.
    pub value_asked: f64,
}

impl FailoverPlan {
    /// Rejected requests per second of one class from a branch's clients.
    pub fn rejected_rate(&self, branch: usize, class: usize) -> f64 {
        let is_match = |rejected: &&RejectedLoad| rejected.branch == branch && rejected.class == class;
        self.rejected.iter().find(is_match).map_or(0.0, |rejected| rejected.rate)
    }
}

/// Why a plan could not be made.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// Some requests of a class that must be served cannot be.
    #[error("{missing_rate:.2} requests per second of class {class} must be served, but cannot be")]
    MustServe {
        /// The class.
        class: usize,
        /// Requests per second.
        missing_rate: f64,
        /// The best plan nevertheless.
        plan: Box<FailoverPlan>,
    },
    /// A value for the origin or [`Layout::max_own_loss`] is out of range.
    #[error("a value of the origin, or own_loss, is out of range")]
    InvalidOrigin,
    /// A value of a class is negative or not finite.
    #[error("class {name}: a value is negative or not finite")]
    InvalidClass {
        /// The class.
        name: String,
    },
    /// A value of a site is negative or not finite.
    #[error("site {name}: a value is negative or not finite")]
    InvalidSite {
        /// The site.
        name: String,
    },
    /// A branch does not have one load per class and one link capacity per hub.
    #[error("site {name}: it must have a load for each class and a link for each hub")]
    IncompleteSite {
        /// The site.
        name: String,
    },
    /// Branches that take displaced clients cannot keep serving their own as required.
    #[error("branches that take displaced clients cannot keep serving their own clients as required")]
    Infeasible,
    /// The solver failed; contains its message.
    #[error("{0}")]
    Solver(String),
}

fn is_valid_rate(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl SiteCapacity {
    fn has_valid_values(&self) -> bool {
        let values = self.load.iter().chain(&self.link_capacity);
        values.chain([&self.capacity, &self.capacity_per_cache]).all(|value| is_valid_rate(*value))
    }

    /// Whether a hub is the nearest one, that is, the one with the link of the highest capacity.
    fn is_nearest_hub(&self, hub: usize) -> bool {
        let max_capacity = self.link_capacity.iter().copied().fold(0.0, f64::max);
        self.link_capacity[hub] >= max_capacity
    }
}

impl Layout {
    /// Validates the layout.
    ///
    /// # Errors
    /// The first invalid value.
    pub fn check(&self) -> Result<(), PlanError> {
        let is_origin_valid = is_valid_rate(self.origin_fraction) && is_valid_rate(self.origin_capacity);
        if !is_origin_valid || !(0.0..=1.0).contains(&self.max_own_loss) {
            return Err(PlanError::InvalidOrigin);
        }
        for class in &self.classes {
            let values = [class.priority_weight, class.work, class.fills_per_request];
            if !values.into_iter().all(is_valid_rate) {
                return Err(PlanError::InvalidClass { name: class.name.clone() });
            }
        }
        for site in self.branches.iter().chain(&self.hubs) {
            if !site.has_valid_values() {
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

    /// One loss per site: that of this site alone.
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

    /// The lowest priority weight above 0, or 1 if there is none.
    fn min_weight(&self) -> f64 {
        let weights = self.classes.iter().map(|class| class.priority_weight).filter(|weight| *weight > 0.0);
        let lowest = weights.fold(f64::INFINITY, f64::min);
        if lowest.is_finite() {
            lowest
        } else {
            1.0
        }
    }
}

/// Computes the plan for a loss, with as few differences from the plan `previous` as possible. Without a loss the
/// result is the baseline: what is served in normal operation.
///
/// # Errors
/// If the layout is invalid, the solver fails, or requests of a class that must be served cannot be.
pub fn plan(
    layout: &Layout,
    loss: &Loss,
    previous: Option<&FailoverPlan>,
) -> Result<FailoverPlan, PlanError> {
    layout.check()?;
    let baseline = if loss.is_empty() { None } else { Some(baseline_plan(layout)?) };
    let plan = solve(layout, loss, baseline.as_ref(), previous)?;
    for (class, _) in layout.classes.iter().enumerate().filter(|(_, class)| class.must_be_served) {
        let rejected = plan.rejected.iter().filter(|rejected| rejected.class == class);
        let missing_rate: f64 = rejected.map(|rejected| rejected.rate).sum();
        let requested: f64 = layout.branches.iter().map(|branch| branch.load[class]).sum();
        if missing_rate > MUST_SERVE_TOLERANCE * requested.max(1.0) {
            return Err(PlanError::MustServe { class, missing_rate, plan: Box::new(plan) });
        }
    }
    Ok(plan)
}

fn baseline_plan(layout: &Layout) -> Result<FailoverPlan, PlanError> {
    solve(layout, &Loss::default(), None, None)
}

/// Identifies requests of one class that are redirected from a lost branch to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MoveKey {
    from: usize,
    to: usize,
    class: usize,
}

/// The decision variables of the linear program.
struct DecisionVariables {
    moved: BTreeMap<MoveKey, Variable>,
    /// Requests that a branch serves for its own clients, by branch and class.
    own: BTreeMap<(usize, usize), Variable>,
    /// Fills, by branch and hub.
    fills: BTreeMap<(usize, usize), Variable>,
    /// The absolute difference of each move from the previous plan.
    changed: Vec<(MoveKey, Variable)>,
}

/// The inputs of one linear program.
struct Problem<'a> {
    layout: &'a Layout,
    loss: &'a Loss,
    /// The plan without a loss; `None` while that one is computed.
    baseline: Option<&'a FailoverPlan>,
    /// Branches that are not lost.
    branches: Vec<usize>,
    /// Hubs that are not lost.
    hubs: Vec<usize>,
}

fn solve(
    layout: &Layout,
    loss: &Loss,
    baseline: Option<&FailoverPlan>,
    previous: Option<&FailoverPlan>,
) -> Result<FailoverPlan, PlanError> {
    let branches = layout.remaining_branches(loss);
    let hubs = layout.remaining_hubs(loss);
    let problem = Problem { layout, loss, baseline, branches, hubs };
    let mut variables = ProblemVariables::new();
    let decisions = problem.add_variables(&mut variables, previous.is_some());
    let mut model = variables.maximise(problem.objective(&decisions)).using(microlp);
    problem.constrain_branches(&mut model, &decisions);
    problem.constrain_hubs_and_origin(&mut model, &decisions);
    problem.constrain_moves(&mut model, &decisions);
    if let Some(previous) = previous {
        constrain_changes(&mut model, &decisions, previous);
    }
    let solution = model.solve().map_err(|error| match error {
        ResolutionError::Infeasible => PlanError::Infeasible,
        error => PlanError::Solver(error.to_string()),
    })?;
    Ok(extract_plan(layout, &decisions, &solution))
}

impl Problem<'_> {
    fn classes(&self) -> std::ops::Range<usize> {
        0..self.layout.classes.len()
    }

    fn add_variables(&self, variables: &mut ProblemVariables, tracks_changes: bool) -> DecisionVariables {
        let mut decisions = DecisionVariables {
            moved: BTreeMap::new(),
            own: BTreeMap::new(),
            fills: BTreeMap::new(),
            changed: Vec::new(),
        };
        for to in self.branches.iter().copied() {
            let branch = &self.layout.branches[to];
            for class in self.classes() {
                let load = branch.load[class];
                let min_rate = self.min_own_rate(to, class).min(load).max(0.0);
                decisions.own.insert((to, class), variables.add(variable().min(min_rate).max(load)));
                for from in self.loss.branches.iter().copied() {
                    let load = self.layout.branches[from].load[class];
                    let moved = variables.add(variable().min(0.0).max(load));
                    decisions.moved.insert(MoveKey { from, to, class }, moved);
                }
            }
            for hub in self.hubs.iter().copied() {
                let filled = variables.add(variable().min(0.0).max(branch.link_capacity[hub]));
                decisions.fills.insert((to, hub), filled);
            }
        }
        if tracks_changes {
            let keys = decisions.moved.keys();
            decisions.changed = keys.map(|key| (*key, variables.add(variable().min(0.0)))).collect();
        }
        decisions
    }

    /// The minimum rate that a branch serves for its own clients: the baseline less the tolerated loss, or 0 if a hub
    /// is lost.
    fn min_own_rate(&self, branch: usize, class: usize) -> f64 {
        if !self.loss.hubs.is_empty() {
            return 0.0;
        }
        let baseline = self.baseline.map_or(0.0, |baseline| baseline.own[branch][class]);
        baseline * (1.0 - self.layout.max_own_loss)
    }

    fn objective(&self, decisions: &DecisionVariables) -> Expression {
        let layout = self.layout;
        let weight = |class: usize| layout.classes[class].priority_weight;
        let own = decisions.own.iter().map(|((_, class), served)| weight(*class) * *served);
        let moved = decisions.moved.iter().map(|(key, served)| weight(key.class) * *served);
        let mut objective = own.chain(moved).sum::<Expression>();
        let unit = layout.min_weight();
        for moved in decisions.moved.values() {
            objective -= unit * MOVE_COST * *moved;
        }
        for ((branch, hub), filled) in &decisions.fills {
            let is_near = layout.branches[*branch].is_nearest_hub(*hub);
            let factor = if is_near { 1.0 } else { DISTANT_FILL_FACTOR };
            objective -= unit * FILL_COST * factor * *filled;
        }
        for (_, changed) in &decisions.changed {
            objective -= unit * CHANGE_COST * *changed;
        }
        objective
    }

    /// Limits each branch's work to its capacity, and equates its fills with the misses of its requests.
    fn constrain_branches(&self, model: &mut impl SolverModel, decisions: &DecisionVariables) {
        for to in self.branches.iter().copied() {
            let mut work = Expression::from(0.0);
            let mut fills = Expression::from(0.0);
            for class in self.classes() {
                let Class { work: work_per_request, fills_per_request, .. } = &self.layout.classes[class];
                let moved = self.loss.branches.iter().copied();
                let moved = moved.map(|from| decisions.moved[&MoveKey { from, to, class }]);
                for served in moved.chain([decisions.own[&(to, class)]]) {
                    work += *work_per_request * served;
                    fills += *fills_per_request * served;
                }
            }
            model.add_constraint(work.leq(self.layout.branches[to].capacity));
            for hub in self.hubs.iter().copied() {
                fills -= decisions.fills[&(to, hub)];
            }
            model.add_constraint(fills.eq(0.0));
        }
    }

    /// Limits the fills through each hub and the origin to their capacity.
    fn constrain_hubs_and_origin(&self, model: &mut impl SolverModel, decisions: &DecisionVariables) {
        for hub in self.hubs.iter().copied() {
            let fills = self.branches.iter().map(|to| Expression::from(decisions.fills[&(*to, hub)]));
            model.add_constraint(fills.sum::<Expression>().leq(self.layout.hubs[hub].capacity));
        }
        if !decisions.fills.is_empty() {
            let fills = decisions.fills.values().map(|filled| self.layout.origin_fraction * *filled);
            model.add_constraint(fills.sum::<Expression>().leq(self.layout.origin_capacity));
        }
    }

    /// Limits the redirected requests of each lost branch to its load.
    fn constrain_moves(&self, model: &mut impl SolverModel, decisions: &DecisionVariables) {
        for from in self.loss.branches.iter().copied() {
            for class in self.classes() {
                let moved = self.branches.iter().copied();
                let moved = moved.map(|to| Expression::from(decisions.moved[&MoveKey { from, to, class }]));
                let load = self.layout.branches[from].load[class];
                model.add_constraint(moved.sum::<Expression>().leq(load));
            }
        }
    }
}

/// Bounds the difference of each move from the previous plan by its change variable, in both directions.
fn constrain_changes(model: &mut impl SolverModel, decisions: &DecisionVariables, previous: &FailoverPlan) {
    for (key, changed) in &decisions.changed {
        let is_same =
            |moved: &&DisplacedLoad| (moved.from, moved.to, moved.class) == (key.from, key.to, key.class);
        let previous_rate = previous.moves.iter().find(is_same).map_or(0.0, |moved| moved.rate);
        model.add_constraint((decisions.moved[key] - *changed).leq(previous_rate));
        model.add_constraint((decisions.moved[key] + *changed).geq(previous_rate));
    }
}

fn extract_plan(layout: &Layout, decisions: &DecisionVariables, solution: &impl Solution) -> FailoverPlan {
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
    for (MoveKey { from, to, class }, variable) in &decisions.moved {
        let rate = value(variable);
        if rate > 0.0 {
            moved_away[*from][*class] += rate;
            plan.moves.push(DisplacedLoad { from: *from, to: *to, class: *class, rate });
        }
    }
    for ((branch, class), variable) in &decisions.own {
        plan.own[*branch][*class] = value(variable);
    }
    for ((branch, hub), variable) in &decisions.fills {
        plan.fills[*branch][*hub] = value(variable);
    }
    add_totals(layout, &moved_away, &mut plan);
    plan
}

/// Fills in the value served and the rejected requests.
fn add_totals(layout: &Layout, moved_away: &[Vec<f64>], plan: &mut FailoverPlan) {
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
    let value_per_work = |class: usize| {
        let class = &layout.classes[class];
        class.priority_weight / class.work.max(1e-9)
    };
    plan.rejected.sort_by(|a, b| {
        let by_value = value_per_work(a.class).total_cmp(&value_per_work(b.class));
        by_value.then(a.branch.cmp(&b.branch))
    });
}

/// The constraint whose relaxation increases the value served the most; `None` if none increases it.
///
/// # Errors
/// If the solver fails.
pub fn tightest_bottleneck(layout: &Layout, loss: &Loss) -> Result<Option<Bottleneck>, PlanError> {
    let baseline = baseline_plan(layout)?;
    let value = solve(layout, loss, Some(&baseline), None)?.value;
    let mut best: Option<Bottleneck> = None;
    for constraint in constraints(layout, loss) {
        let relaxed = relax(layout, &constraint);
        let gain = solve(&relaxed, loss, Some(&baseline), None)?.value - value;
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
    let limit = match constraint {
        BindingConstraint::Branch(branch) => &mut relaxed.branches[*branch].capacity,
        BindingConstraint::Link(branch, hub) => &mut relaxed.branches[*branch].link_capacity[*hub],
        BindingConstraint::Hub(hub) => &mut relaxed.hubs[*hub].capacity,
        BindingConstraint::Origin => &mut relaxed.origin_capacity,
    };
    *limit *= 1.0 + RELAXATION;
    relaxed
}

/// The effect of adding one cache node at each remaining branch.
///
/// # Errors
/// If the solver fails.
pub fn expansion_gains(layout: &Layout, loss: &Loss) -> Result<Vec<ExpansionGain>, PlanError> {
    let baseline = baseline_plan(layout)?;
    let value = solve(layout, loss, Some(&baseline), None)?.value;
    let mut gains = Vec::new();
    for branch in layout.remaining_branches(loss) {
        let mut larger = layout.clone();
        larger.branches[branch].capacity += larger.branches[branch].capacity_per_cache;
        let gain = solve(&larger, loss, Some(&baseline), None)?.value - value;
        gains.push(ExpansionGain { branch, gain });
    }
    Ok(gains)
}
