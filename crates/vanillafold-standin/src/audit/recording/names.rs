//! Interned names of processes, VMs, pools, teams, queues and keys.

/// A name interned in a [`NameTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Name(u32);

impl Name {
    /// Returns the index into a vector with one element for each name.
    pub(crate) const fn index(self) -> usize {
        self.0 as usize
    }
}

/// The names of a run, some hundreds.
#[derive(Debug, Default)]
pub(crate) struct NameTable {
    texts: Vec<Box<str>>,
    sorted: Vec<Name>,
}

impl NameTable {
    pub(crate) fn intern(&mut self, text: &str) -> Name {
        let position = self
            .sorted
            .binary_search_by(|name| self.texts[name.index()].as_ref().cmp(text));
        match position {
            Ok(position) => self.sorted[position],
            Err(position) => {
                let number = u32::try_from(self.texts.len()).expect("fewer than 2^32 names");
                self.texts.push(text.into());
                self.sorted.insert(position, Name(number));
                Name(number)
            }
        }
    }

    pub(crate) fn text(&self, name: Name) -> &str {
        &self.texts[name.index()]
    }

    /// Returns all names in alphabetical order.
    pub(crate) fn sorted(&self) -> &[Name] {
        &self.sorted
    }
}
