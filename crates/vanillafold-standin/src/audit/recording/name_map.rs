//! A map from names to values.

use super::Name;

/// A map from names to values, as a vector sorted by name.
#[derive(Debug)]
pub(crate) struct NameMap<T> {
    entries: Vec<Entry<T>>,
}

#[derive(Debug)]
struct Entry<T> {
    name: Name,
    value: T,
}

impl<T> Default for NameMap<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<T: Default> NameMap<T> {
    /// Returns the value of a name, after inserting the default if it has none.
    pub(crate) fn entry(&mut self, name: Name) -> &mut T {
        let position = match self.position(name) {
            Ok(position) => position,
            Err(position) => {
                let value = T::default();
                self.entries.insert(position, Entry { name, value });
                position
            }
        };
        &mut self.entries[position].value
    }
}

impl<T> NameMap<T> {
    pub(crate) fn get(&self, name: Name) -> Option<&T> {
        let position = self.position(name).ok()?;
        Some(&self.entries[position].value)
    }

    pub(crate) fn remove(&mut self, name: Name) {
        if let Ok(position) = self.position(name) {
            self.entries.remove(position);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Name, &T)> {
        self.entries.iter().map(|entry| (entry.name, &entry.value))
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.entries.iter_mut().map(|entry| &mut entry.value)
    }

    fn position(&self, name: Name) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&name, |entry| entry.name)
    }
}
