//! State charts that are loaded from data files and interpreted.
//!
//! A chart lists its initial state and the transitions between states on events. The file is JSON;
//! its states and events are deserialized into enums of the crate that uses the chart, so that a
//! misspelt name is an error when the chart is parsed.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use serde::{Deserialize, de::DeserializeOwned};

/// State machine with the initial state and the transitions between states `S` on events `E`.
///
/// # Examples
///
/// ```
/// use chart::Chart;
///
/// let text = r#"{"initial": "open", "transitions": [{"from": ["open"], "on": "close", "to": "shut"}]}"#;
/// let chart: Chart<String, String> = Chart::parse(text).unwrap();
/// assert_eq!(chart.next(chart.initial(), &"close".to_owned()), Some(&"shut".to_owned()));
/// ```
#[derive(Debug, Clone)]
pub struct Chart<S, E> {
    initial: S,
    next_states: BTreeMap<(S, E), S>,
}

/// Errors in the text of a chart.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ChartError {
    /// The text is not a chart with the expected states and events.
    #[display("invalid state chart: {_0}")]
    Invalid(#[error(not(source))] String),
    /// Two transitions leave the same state on the same event.
    #[display("state {from} has two transitions on {on}")]
    Ambiguous {
        /// State that both transitions leave.
        from: String,
        /// Event that triggers both transitions.
        on: String,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile<S, E> {
    initial: S,
    transitions: Vec<Transition<S, E>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Transition<S, E> {
    from: Vec<S>,
    on: E,
    to: S,
}

impl<S, E> Chart<S, E>
where
    S: Clone + Ord + std::fmt::Debug + DeserializeOwned,
    E: Clone + Ord + std::fmt::Debug + DeserializeOwned,
{
    /// Parses a chart from the JSON text of its file.
    ///
    /// # Errors
    ///
    /// [`ChartError`] if the text is not a chart, or if a state has two transitions on one event.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile<S, E> =
            serde_json::from_str(text).map_err(|err| ChartError::Invalid(err.to_string()))?;
        let mut next_states = BTreeMap::new();
        for transition in file.transitions {
            for from in transition.from {
                let key = (from.clone(), transition.on.clone());
                if next_states.insert(key, transition.to.clone()).is_some() {
                    return Err(ChartError::Ambiguous {
                        from: format!("{from:?}"),
                        on: format!("{:?}", transition.on),
                    });
                }
            }
        }
        Ok(Self {
            initial: file.initial,
            next_states,
        })
    }

    /// Returns the initial state.
    pub fn initial(&self) -> &S {
        &self.initial
    }

    /// Returns the state that follows `state` on `event`, or `None` if `state` ignores the event.
    pub fn next(&self, state: &S, event: &E) -> Option<&S> {
        self.next_states.get(&(state.clone(), event.clone()))
    }

    /// Returns every transition as source state, event and target state, in ascending order.
    pub fn transitions(&self) -> Vec<(&S, &E, &S)> {
        self.next_states
            .iter()
            .map(|((from, on), to)| (from, on, to))
            .collect()
    }

    /// Returns the states that can be reached from the initial state, including that state.
    pub fn reachable(&self) -> BTreeSet<&S> {
        let mut reached = BTreeSet::from([&self.initial]);
        let mut pending = vec![&self.initial];
        while let Some(state) = pending.pop() {
            for ((from, _), to) in &self.next_states {
                if from == state && reached.insert(to) {
                    pending.push(to);
                }
            }
        }
        reached
    }

    /// Returns the chart as a Mermaid state diagram.
    pub fn to_mermaid(&self) -> String {
        let mut text = format!("stateDiagram-v2\n    [*] --> {:?}\n", self.initial);
        for ((from, on), to) in &self.next_states {
            text.push_str(&format!("    {from:?} --> {to:?}: {on:?}\n"));
        }
        text
    }
}
