//! Exhaustive search of the states that a small model can reach.
//!
//! The search goes breadth first, so the actions that lead to a state that breaks a rule are as few as possible. States
//! are distinguished by keys of 64 bits.

use std::{
    collections::BTreeSet,
    fmt::{self, Write},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Reports what a search has visited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exploration<A> {
    /// Number of distinct states.
    pub states: usize,
    /// Number of actions that were taken, those that led to a known state included.
    pub actions: usize,
    /// Number of actions after which the last distinct states were found.
    pub depth: usize,
    /// Whether all states were visited that can be reached.
    pub is_complete: bool,
    /// The first state that breaks a rule.
    pub broken: Option<Broken<A>>,
}

/// Describes how a rule is broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken<A> {
    /// What the rule says of the state.
    pub rule: String,
    /// Number of the initial state.
    pub initial: usize,
    /// The actions that lead from there to the state that breaks it.
    pub actions: Vec<A>,
}

/// Visits the states that can be reached from the initial ones, until one breaks a rule or `max_states` were visited.
///
/// `next` returns the actions that are possible in a state with the states that follow; `check` returns what rule a state
/// breaks.
///
/// # Examples
///
/// Two processes that read a counter and write the next number lose an increment:
///
/// ```
/// use proof::explore::{explore, key_of};
///
/// // The counter, and what each process has read and whether it has written.
/// type State = (u32, [(Option<u32>, bool); 2]);
/// let next = |state: &State| {
///     let mut following = Vec::new();
///     for idx in 0..2 {
///         let (mut counter, mut processes) = *state;
///         match processes[idx] {
///             (None, _) => processes[idx].0 = Some(counter),
///             (Some(read), false) => {
///                 counter = read + 1;
///                 processes[idx].1 = true;
///             }
///             (Some(_), true) => continue,
///         }
///         following.push((idx, (counter, processes)));
///     }
///     following
/// };
/// let check = |(counter, processes): &State| {
///     let is_done = processes.iter().all(|(_, has_written)| *has_written);
///     (is_done && *counter != 2).then(|| "an increment is lost".to_owned())
/// };
/// let initial: State = (0, [(None, false); 2]);
/// let found = explore(vec![initial], 100, next, key_of, check);
/// assert_eq!(found.broken.unwrap().actions, [0, 1, 0, 1]);
/// ```
pub fn explore<S, A, N, K, C>(
    initial: Vec<S>,
    max_states: usize,
    mut next: N,
    key: K,
    mut check: C,
) -> Exploration<A>
where
    A: Clone,
    N: FnMut(&S) -> Vec<(A, S)>,
    K: Fn(&S) -> u64,
    C: FnMut(&S) -> Option<String>,
{
    let mut search = Search::new();
    let mut layer = Vec::new();
    for (idx, state) in initial.into_iter().enumerate() {
        let step = Step {
            from: idx,
            action: None,
        };
        search.visit(key(&state), step, state, &mut check, &mut layer);
    }
    while !layer.is_empty() && search.found.broken.is_none() {
        if search.found.states >= max_states {
            search.found.is_complete = false;
            break;
        }
        let mut following = Vec::new();
        for (from, state) in layer.drain(..) {
            if search.found.broken.is_some() {
                return search.found;
            }
            for (action, state) in next(&state) {
                search.found.actions += 1;
                let action = Some(action);
                let step = Step { from, action };
                search.visit(key(&state), step, state, &mut check, &mut following);
            }
        }
        search.found.depth += usize::from(!following.is_empty());
        layer = following;
    }
    search.found
}

/// Returns the key of a state by its hash, the same in each run.
pub fn key_of<S>(state: &S) -> u64
where
    S: Hash,
{
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Returns the key of a state that can't be hashed, by its description.
pub fn key_of_description<S>(state: &S) -> u64
where
    S: fmt::Debug,
{
    let mut described = Described(DefaultHasher::new());
    // Writing into a hasher can't fail.
    let _ = write!(described, "{state:?}");
    described.0.finish()
}

struct Described(DefaultHasher);

impl Write for Described {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// Remembers the states that were visited.
struct Search<A> {
    seen: BTreeSet<u64>,
    steps: Vec<Step<A>>,
    found: Exploration<A>,
}

/// Links a state to the one from which it was first reached.
struct Step<A> {
    /// Number of the previous state, or of the initial one.
    from: usize,
    action: Option<A>,
}

impl<A> Search<A>
where
    A: Clone,
{
    fn new() -> Self {
        Self {
            seen: BTreeSet::new(),
            steps: Vec::new(),
            found: Exploration {
                states: 0,
                actions: 0,
                depth: 0,
                is_complete: true,
                broken: None,
            },
        }
    }

    /// Adds a state to its layer, unless it is known, or another one has broken a rule.
    fn visit<S, C>(
        &mut self,
        key: u64,
        step: Step<A>,
        state: S,
        check: C,
        layer: &mut Vec<(usize, S)>,
    ) where
        C: FnOnce(&S) -> Option<String>,
    {
        if self.found.broken.is_some() || !self.seen.insert(key) {
            return;
        }
        let idx = self.steps.len();
        self.steps.push(step);
        self.found.states += 1;
        if let Some(rule) = check(&state) {
            self.found.is_complete = false;
            self.found.broken = Some(self.trace(idx, rule));
        }
        layer.push((idx, state));
    }

    /// Returns the actions that led to a state.
    fn trace(&self, mut at: usize, rule: String) -> Broken<A> {
        let mut actions = Vec::new();
        while let Some(action) = &self.steps[at].action {
            actions.push(action.clone());
            at = self.steps[at].from;
        }
        actions.reverse();
        Broken {
            rule,
            initial: self.steps[at].from,
            actions,
        }
    }
}
