//! A network that loses, repeats, delays and reorders messages, and may be partitioned in any way.

use vanillafold_state::{EscrowEntry, EscrowMessage};
use vanillafold_types::Incarnation;

use super::random::Random;

/// The index of a process, which is one end of a link.
pub(crate) type ProcessId = usize;

#[derive(Debug, Clone)]
pub(crate) struct Packet {
    pub(crate) deliver_at_ms: u64,
    pub(crate) from: ProcessId,
    pub(crate) from_daemon: usize,
    pub(crate) from_incarnation: Incarnation,
    pub(crate) to_daemon: usize,
    pub(crate) message: EscrowMessage,
}

#[derive(Debug, Default)]
pub(crate) struct Network {
    pub(crate) packets: Vec<Packet>,
    /// Pairs of a sending process and a receiving daemon between which no message passes.
    pub(crate) blocked_links: Vec<(ProcessId, usize)>,
    /// Processes that cannot reach the platform.
    pub(crate) platform_partitions: Vec<ProcessId>,
    pub(crate) loss_per_million: u64,
    pub(crate) repeat_per_million: u64,
    pub(crate) long_delay_per_million: u64,
    /// Injected bug: a repeated report of a grant counts twice.
    pub(crate) counts_repeats_twice: bool,
    /// Injected bug: lenders report 0 home units.
    pub(crate) hides_home_units: bool,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

const MAX_DELAY_MS: u64 = 3;
const MAX_LONG_DELAY_MS: u64 = 40_000;

impl Network {
    pub(crate) fn send(&mut self, mut packet: Packet, now_ms: u64, random: &mut Random) {
        self.messages += 1;
        let encoded = bincode::encode_to_vec(&packet.message, bincode::config::standard());
        self.bytes += encoded.unwrap().len() as u64;
        if self.is_blocked(packet.from, packet.to_daemon) || random.happens(self.loss_per_million) {
            return;
        }
        if self.hides_home_units {
            hide_home_units(&mut packet.message);
        }
        let is_slow = random.happens(self.long_delay_per_million);
        packet.deliver_at_ms = now_ms + self.delay_ms(is_slow, random);
        if random.happens(self.repeat_per_million) {
            let mut copy = packet.clone();
            copy.deliver_at_ms += self.delay_ms(true, random);
            if self.counts_repeats_twice {
                double_grants(&mut copy.message);
            }
            self.packets.push(copy);
        }
        self.packets.push(packet);
    }

    pub(crate) fn take_due(&mut self, now_ms: u64) -> Vec<Packet> {
        let (due, later) = std::mem::take(&mut self.packets)
            .into_iter()
            .partition(|packet| packet.deliver_at_ms <= now_ms);
        self.packets = later;
        due
    }

    pub(crate) fn is_blocked(&self, from: ProcessId, to_daemon: usize) -> bool {
        self.blocked_links.contains(&(from, to_daemon))
    }

    pub(crate) fn is_platform_partitioned(&self, process: ProcessId) -> bool {
        self.platform_partitions.contains(&process)
    }

    fn delay_ms(&self, is_slow: bool, random: &mut Random) -> u64 {
        match is_slow {
            true => random.between(MAX_DELAY_MS, MAX_LONG_DELAY_MS),
            false => random.between(1, MAX_DELAY_MS),
        }
    }
}

fn hide_home_units(message: &mut EscrowMessage) {
    for line in &mut message.lines {
        if let EscrowEntry::Lent { home, .. } = &mut line.entry {
            *home = 0;
        }
    }
}

fn double_grants(message: &mut EscrowMessage) {
    for line in &mut message.lines {
        if let EscrowEntry::Lent {
            granted_total,
            serial,
            ..
        } = &mut line.entry
        {
            *granted_total *= 2;
            *serial += 1;
        }
    }
}
