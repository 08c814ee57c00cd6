//! A tree over a sorted roster that carries news to many instances.

use base::InstanceId;

/// Shapes the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FanOut {
    /// Children of each member.
    pub degree: usize,
}

/// Returns those to whom `me` passes news on that began at `root`.
///
/// Every member computes the same tree from the same sorted roster. A member that is not on the
/// roster, or a root that is not, yields no children; gaps are closed by the periodic heartbeats,
/// which carry the version.
///
/// # Examples
///
/// ```
/// use coord::{FanOut, children};
///
/// let roster = ["a", "b", "c", "d"].map(Into::into);
/// let tree = FanOut { degree: 2 };
/// assert_eq!(children(&roster, &"a".into(), &"a".into(), tree), ["b".into(), "c".into()]);
/// assert_eq!(children(&roster, &"a".into(), &"b".into(), tree), ["d".into()]);
/// ```
pub fn children(
    roster: &[InstanceId],
    root: &InstanceId,
    me: &InstanceId,
    tree: FanOut,
) -> Vec<InstanceId> {
    let (Ok(root), Ok(own)) = (roster.binary_search(root), roster.binary_search(me)) else {
        return Vec::new();
    };
    let len = roster.len();
    let place = (own + len - root) % len;
    let first = place * tree.degree + 1;
    (first..first + tree.degree)
        .take_while(|child| *child < len)
        .map(|child| roster[(child + root) % len].clone())
        .collect()
}
