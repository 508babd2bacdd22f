//! Values that change at known times.

/// A value that changes at known times.
#[derive(Debug)]
pub(crate) struct Timeline<T> {
    changes: Vec<Change<T>>,
}

#[derive(Debug)]
struct Change<T> {
    at_us: u64,
    value: T,
}

impl<T> Default for Timeline<T> {
    fn default() -> Self {
        Self {
            changes: Vec::new(),
        }
    }
}

impl<T: Copy> Timeline<T> {
    /// Adds a change, which must not be earlier than those before it.
    pub(crate) fn push(&mut self, at_us: u64, value: T) {
        self.changes.push(Change { at_us, value });
    }

    /// Returns each value that was in force at some time of the span, both ends included.
    pub(crate) fn in_force(&self, from_us: u64, to_us: u64) -> impl Iterator<Item = T> + '_ {
        let begun = self.changes.partition_point(|it| it.at_us <= from_us);
        let end = self.changes.partition_point(|it| it.at_us <= to_us);
        let begin = begun.saturating_sub(1).min(end);
        self.changes[begin..end].iter().map(|change| change.value)
    }

    /// Returns the value in force at a time; `None` before the first change.
    pub(crate) fn at(&self, at_us: u64) -> Option<T> {
        self.in_force(at_us, at_us).next()
    }
}
