//! A fan-out tree over a sorted list of instances, by which updates are forwarded.

use base::InstanceId;

/// Defines the shape of a fan-out tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FanOut {
    /// Maximum number of children of each instance.
    pub degree: usize,
}

/// Returns the instances to which `me` forwards an update that originates at `root`.
///
/// `members` must be sorted; every instance computes the same tree from the same list. If `me` or
/// `root` is not on it, there are no children. Instances that an update does not reach by the tree
/// learn of it from the version in the periodic heartbeats.
///
/// # Examples
///
/// ```
/// use coord::{FanOut, children};
///
/// let members = ["a", "b", "c", "d"].map(Into::into);
/// let tree = FanOut { degree: 2 };
/// assert_eq!(children(&members, &"a".into(), &"a".into(), tree), ["b".into(), "c".into()]);
/// assert_eq!(children(&members, &"a".into(), &"b".into(), tree), ["d".into()]);
/// ```
pub fn children(
    members: &[InstanceId],
    root: &InstanceId,
    me: &InstanceId,
    tree: FanOut,
) -> Vec<InstanceId> {
    let (Ok(root), Ok(own)) = (members.binary_search(root), members.binary_search(me)) else {
        return Vec::new();
    };
    let len = members.len();
    let node = (own + len - root) % len;
    let first = node * tree.degree + 1;
    (first..first + tree.degree)
        .take_while(|child| *child < len)
        .map(|child| members[(child + root) % len].clone())
        .collect()
}
