//! State charts read from data files and interpreted.
//!
//! A chart names its states, its events and the transitions between them. The file is JSON; its
//! states and events are deserialized into enums of the using crate, so that a misspelt name is an
//! error when the chart is read.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use serde::{Deserialize, de::DeserializeOwned};

/// Holds the transitions between states `S` on events `E`.
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
    next: BTreeMap<(S, E), S>,
}

/// Lists the faults of a chart's file.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ChartError {
    /// The text is not a chart.
    #[display("the chart can't be read: {_0}")]
    Invalid(#[error(not(source))] String),
    /// Two transitions leave one state on one event.
    #[display("state {from} has two transitions on {on}")]
    Ambiguous {
        /// State that both leave.
        from: String,
        /// Event that both are on.
        on: String,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File<S, E> {
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
    /// Reads a chart from the text of its file.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the text is not a chart or is ambiguous.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: File<S, E> =
            serde_json::from_str(text).map_err(|err| ChartError::Invalid(err.to_string()))?;
        let mut next = BTreeMap::new();
        for transition in file.transitions {
            for from in transition.from {
                let key = (from.clone(), transition.on.clone());
                if next.insert(key, transition.to.clone()).is_some() {
                    return Err(ChartError::Ambiguous {
                        from: format!("{from:?}"),
                        on: format!("{:?}", transition.on),
                    });
                }
            }
        }
        Ok(Self {
            initial: file.initial,
            next,
        })
    }

    /// Returns the state in which a machine begins.
    pub fn initial(&self) -> &S {
        &self.initial
    }

    /// Returns the state that follows `state` on `event`, or `None` where the event is ignored.
    pub fn next(&self, state: &S, event: &E) -> Option<&S> {
        self.next.get(&(state.clone(), event.clone()))
    }

    /// Returns every transition as from, event and to, in order.
    pub fn transitions(&self) -> Vec<(&S, &E, &S)> {
        self.next
            .iter()
            .map(|((from, on), to)| (from, on, to))
            .collect()
    }

    /// Returns the states that can be reached from the initial one.
    pub fn reachable(&self) -> BTreeSet<&S> {
        let mut found = BTreeSet::from([&self.initial]);
        let mut open = vec![&self.initial];
        while let Some(state) = open.pop() {
            for ((from, _), to) in &self.next {
                if from == state && found.insert(to) {
                    open.push(to);
                }
            }
        }
        found
    }

    /// Returns the chart as a Mermaid state diagram.
    pub fn to_mermaid(&self) -> String {
        let mut text = format!("stateDiagram-v2\n    [*] --> {:?}\n", self.initial);
        for ((from, on), to) in &self.next {
            text.push_str(&format!("    {from:?} --> {to:?}: {on:?}\n"));
        }
        text
    }
}
