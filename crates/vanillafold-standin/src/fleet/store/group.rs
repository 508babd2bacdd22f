//! A group of the metadata store, whose members share out the partitions of a topic.

use std::time::{Duration, Instant};

/// The number of partitions of a topic.
pub(super) const PARTITIONS: usize = 16;

#[derive(Debug)]
struct Member {
    name: String,
    joined_at: Instant,
    time_to_live: Duration,
}

#[derive(Debug)]
pub(super) struct Group {
    generation: u64,
    members: Vec<Member>,
    /// The member that holds each partition.
    owners: [Option<String>; PARTITIONS],
    /// The member that each partition belongs to as soon as its owner has given it up.
    targets: [Option<String>; PARTITIONS],
}

impl Default for Group {
    fn default() -> Self {
        Self {
            generation: 0,
            members: Vec::new(),
            owners: [const { None }; PARTITIONS],
            targets: [const { None }; PARTITIONS],
        }
    }
}

impl Group {
    pub(super) const fn generation(&self) -> u64 {
        self.generation
    }

    pub(super) fn owners(&self) -> impl Iterator<Item = (usize, &str)> {
        let owners = self.owners.iter().enumerate();
        owners.filter_map(|(partition, owner)| Some((partition, owner.as_deref()?)))
    }

    /// Adds a member or renews it, and returns its partitions. `known` is the generation that it
    /// has heard of: it has given up the partitions that were not its own in that generation.
    pub(super) fn join(&mut self, name: &str, time_to_live: Duration, known: u64) -> Vec<usize> {
        let joined_at = Instant::now();
        match self.members.iter_mut().find(|member| member.name == name) {
            Some(member) => {
                member.joined_at = joined_at;
                member.time_to_live = time_to_live;
            }
            None => {
                self.members.push(Member {
                    name: name.to_owned(),
                    joined_at,
                    time_to_live,
                });
                self.reassign();
            }
        }
        for (owner, target) in self.owners.iter_mut().zip(&self.targets) {
            if known >= self.generation && owner.as_deref() == Some(name) {
                owner.clone_from(target);
            }
        }
        let is_own = |partition: &usize| {
            let owner = &self.owners[*partition];
            owner.as_deref() == Some(name) && self.targets[*partition] == *owner
        };
        (0..PARTITIONS).filter(is_own).collect()
    }

    pub(super) fn leave(&mut self, name: &str) {
        self.remove_members(|member| member.name == name);
    }

    /// Removes the members that have not joined again in time.
    pub(super) fn expire(&mut self) {
        self.remove_members(|member| member.joined_at.elapsed() >= member.time_to_live);
    }

    /// Gives the members more time, as after an outage that pauses their times.
    pub(super) fn extend(&mut self, pause: Duration) {
        for member in &mut self.members {
            member.joined_at += pause;
        }
    }

    fn remove_members(&mut self, is_gone: impl Fn(&Member) -> bool) {
        let count = self.members.len();
        self.members.retain(|member| !is_gone(member));
        if self.members.len() < count {
            self.reassign();
        }
    }

    /// Starts a new generation. A partition stays with its member as far as the shares stay even.
    fn reassign(&mut self) {
        self.generation += 1;
        if self.members.is_empty() {
            self.owners.fill(None);
            self.targets.fill(None);
            return;
        }
        let most = PARTITIONS.div_ceil(self.members.len());
        let mut counts = vec![0; self.members.len()];
        for (owner, target) in self.owners.iter_mut().zip(&mut self.targets) {
            let is_owner = |member: &Member| Some(&member.name) == owner.as_ref();
            let holder = self.members.iter().position(is_owner);
            *target = match holder {
                Some(holder) if counts[holder] < most => {
                    counts[holder] += 1;
                    owner.clone()
                }
                _ => None,
            };
            if holder.is_none() {
                *owner = None;
            }
        }
        for (owner, target) in self.owners.iter_mut().zip(&mut self.targets) {
            if target.is_none() {
                let least = (0..counts.len()).min_by_key(|member| counts[*member]);
                let least = least.unwrap_or(0);
                counts[least] += 1;
                *target = Some(self.members[least].name.clone());
            }
            if owner.is_none() {
                owner.clone_from(target);
            }
        }
    }
}
