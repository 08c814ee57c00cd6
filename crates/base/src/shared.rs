//! Values that copies of a configuration share.

use std::{
    fmt,
    ops::{Deref, DerefMut},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

/// Shares a value among clones until one of them is changed, which then gets its own.
///
/// A clone costs the same whatever the size of the value, and so does the comparison with a clone. It is
/// serialized as the value alone.
///
/// # Examples
///
/// ```
/// use base::Shared;
///
/// let first = Shared::from(vec![1, 2]);
/// let mut second = first.clone();
/// assert_eq!(first.as_ptr(), second.as_ptr());
/// second.push(3);
/// assert_eq!((first.len(), second.len()), (2, 3));
/// ```
#[derive(Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Shared<T>(Arc<T>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> PartialEq for Shared<T>
where
    T: PartialEq,
{
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0) || self.0 == other.0
    }
}

impl<T> fmt::Debug for Shared<T>
where
    T: fmt::Debug,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T> DerefMut for Shared<T>
where
    T: Clone,
{
    fn deref_mut(&mut self) -> &mut T {
        Arc::make_mut(&mut self.0)
    }
}

impl<T> From<T> for Shared<T> {
    fn from(value: T) -> Self {
        Self(Arc::new(value))
    }
}

impl<T, I> FromIterator<I> for Shared<T>
where
    T: FromIterator<I>,
{
    fn from_iter<S>(items: S) -> Self
    where
        S: IntoIterator<Item = I>,
    {
        Self::from(T::from_iter(items))
    }
}

impl<'a, T> IntoIterator for &'a Shared<T>
where
    &'a T: IntoIterator,
{
    type Item = <&'a T as IntoIterator>::Item;
    type IntoIter = <&'a T as IntoIterator>::IntoIter;

    fn into_iter(self) -> Self::IntoIter {
        (**self).into_iter()
    }
}

impl<'a, T> IntoIterator for &'a mut Shared<T>
where
    T: Clone,
    &'a mut T: IntoIterator,
{
    type Item = <&'a mut T as IntoIterator>::Item;
    type IntoIter = <&'a mut T as IntoIterator>::IntoIter;

    fn into_iter(self) -> Self::IntoIter {
        (**self).into_iter()
    }
}
