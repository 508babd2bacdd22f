//! A vector sorted by the keys of its elements, which must be unique.

use bincode::de::{BorrowDecoder, Decoder};
use bincode::error::DecodeError;
use bincode::{BorrowDecode, Decode, Encode};

/// An element of a [`SortedVec`], sorted by its key.
pub(crate) trait Keyed {
    type Key: Ord + ?Sized;

    fn key(&self) -> &Self::Key;
}

/// A vector sorted by the keys of its elements, in which each key occurs at most once.
#[derive(Debug, Clone, PartialEq, Eq, Encode)]
pub(crate) struct SortedVec<T>(Vec<T>);

impl<T> Default for SortedVec<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T: Keyed> SortedVec<T> {
    pub(crate) fn get(&self, key: &T::Key) -> Option<&T> {
        self.position(key).ok().map(|index| &self.0[index])
    }

    /// Returns the element with this key. The caller must not change its key.
    pub(crate) fn get_mut(&mut self, key: &T::Key) -> Option<&mut T> {
        self.position(key).ok().map(|index| &mut self.0[index])
    }

    pub(crate) fn contains(&self, key: &T::Key) -> bool {
        self.position(key).is_ok()
    }

    /// Inserts `item` and returns the element with the same key that it replaces, if any.
    pub(crate) fn insert(&mut self, item: T) -> Option<T> {
        match self.position(item.key()) {
            Ok(index) => Some(std::mem::replace(&mut self.0[index], item)),
            Err(index) => {
                self.0.insert(index, item);
                None
            }
        }
    }

    pub(crate) fn remove(&mut self, key: &T::Key) -> Option<T> {
        self.position(key).ok().map(|index| self.0.remove(index))
    }

    /// Returns the element with this key; inserts the result of `make` if there is none. That
    /// result must have this key.
    pub(crate) fn get_or_insert_with(&mut self, key: &T::Key, make: impl FnOnce() -> T) -> &mut T {
        let index = self.position(key).unwrap_or_else(|index| {
            self.0.insert(index, make());
            index
        });
        &mut self.0[index]
    }

    fn position(&self, key: &T::Key) -> Result<usize, usize> {
        self.0.binary_search_by(|item| item.key().cmp(key))
    }
}

impl<T> SortedVec<T> {
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, T> {
        self.0.iter()
    }

    /// Iterates over the elements in key order. The caller must not change their keys.
    pub(crate) fn iter_mut(&mut self) -> std::slice::IterMut<'_, T> {
        self.0.iter_mut()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn first(&self) -> Option<&T> {
        self.0.first()
    }

    /// Removes the elements for which `keep` returns false. `keep` must not change an element's
    /// key.
    pub(crate) fn retain_mut(&mut self, keep: impl FnMut(&mut T) -> bool) {
        self.0.retain_mut(keep);
    }
}

// Elements of a snapshot are checked to be sorted: binary search would miss entries of an unsorted
// vector.
impl<Context, T: Decode<Context> + Keyed> Decode<Context> for SortedVec<T> {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        let items = Vec::<T>::decode(decoder)?;
        if items.is_sorted_by(|left, right| left.key() < right.key()) {
            return Ok(Self(items));
        }
        Err(DecodeError::Other("expected elements sorted by their keys"))
    }
}

impl<'de, Context, T: Decode<Context> + Keyed> BorrowDecode<'de, Context> for SortedVec<T> {
    fn borrow_decode<D: BorrowDecoder<'de, Context = Context>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        Self::decode(decoder)
    }
}
