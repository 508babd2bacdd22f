//! Answer bodies in which each byte follows from the request, the size and its position.

use bytes::Bytes;

const WORD_BYTES: usize = 8;
const CHUNK_BYTES: usize = 16 * 1024;
const CHECK_BYTES: usize = 4 * 1024;

/// The bytes of one answer, by position. Its words are the output of SplitMix64 (Steele, Lea and
/// Flood, "Fast splittable pseudorandom number generators", 2014), seeded with the FNV-1a hash of
/// the request id and the size.
#[derive(Debug)]
struct BodyPattern {
    seed: u64,
}

impl BodyPattern {
    fn new(request: &str, len: u64) -> Self {
        const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const FNV_PRIME: u64 = 0x0100_0000_01b3;
        let length = len.to_le_bytes();
        let bytes = request.bytes().chain(length);
        let seed = bytes.fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        Self { seed }
    }

    fn word(&self, index: u64) -> [u8; WORD_BYTES] {
        const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
        let state = self
            .seed
            .wrapping_add(index.wrapping_add(1).wrapping_mul(GAMMA));
        let state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (state ^ (state >> 31)).to_le_bytes()
    }

    fn fill(&self, position: u64, out: &mut [u8]) {
        let word_bytes = WORD_BYTES as u64;
        let skipped = (position % word_bytes) as usize;
        let first = self.word(position / word_bytes);
        let (head, rest) = out.split_at_mut(out.len().min(WORD_BYTES - skipped));
        head.copy_from_slice(&first[skipped..skipped + head.len()]);
        let following = position / word_bytes + 1..;
        for (index, part) in following.zip(rest.chunks_mut(WORD_BYTES)) {
            part.copy_from_slice(&self.word(index)[..part.len()]);
        }
    }
}

/// The body of the answer to a request, as an iterator over chunks of at most 16 KiB.
///
/// # Examples
///
/// ```
/// use vanillafold_standin::trace::{AnswerBody, AnswerChecker, BodyVerdict};
///
/// let mut checker = AnswerChecker::new("r-1", 40_000);
/// AnswerBody::new("r-1", 40_000).for_each(|chunk| checker.push(&chunk));
/// assert_eq!(checker.finish(), BodyVerdict::Whole);
/// ```
#[derive(Debug)]
pub struct AnswerBody {
    pattern: BodyPattern,
    len: u64,
    position: u64,
}

impl AnswerBody {
    /// Creates the body of `len` bytes that answers `request`.
    #[must_use]
    pub fn new(request: &str, len: u64) -> Self {
        Self {
            pattern: BodyPattern::new(request, len),
            len,
            position: 0,
        }
    }
}

impl Iterator for AnswerBody {
    type Item = Bytes;

    fn next(&mut self) -> Option<Self::Item> {
        let left = self.len - self.position;
        if left == 0 {
            return None;
        }
        let size = usize::try_from(left).map_or(CHUNK_BYTES, |left| left.min(CHUNK_BYTES));
        let mut chunk = vec![0; size];
        self.pattern.fill(self.position, &mut chunk);
        self.position += size as u64;
        Some(Bytes::from(chunk))
    }
}

/// The result of an [`AnswerChecker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyVerdict {
    /// The body has exactly the expected bytes.
    Whole,
    /// A byte differs from the expected one or follows the expected end.
    Wrong {
        /// The position of the first such byte, counted from 0.
        position: u64,
    },
    /// The body ended early; the bytes that arrived are the expected ones.
    Short {
        /// The number of bytes that arrived.
        bytes: u64,
    },
}

/// Checks a body while it arrives, in constant memory.
#[derive(Debug)]
pub struct AnswerChecker {
    pattern: BodyPattern,
    len: u64,
    position: u64,
    mismatch_at: Option<u64>,
}

impl AnswerChecker {
    /// Creates a checker that expects the body of `len` bytes that answers `request`.
    #[must_use]
    pub fn new(request: &str, len: u64) -> Self {
        Self {
            pattern: BodyPattern::new(request, len),
            len,
            position: 0,
            mismatch_at: None,
        }
    }

    /// Checks the next bytes of the body, in pieces of any size.
    pub fn push(&mut self, bytes: &[u8]) {
        let mut expected = [0; CHECK_BYTES];
        for part in bytes.chunks(CHECK_BYTES) {
            if self.mismatch_at.is_some() {
                return;
            }
            let expected = &mut expected[..part.len()];
            self.pattern.fill(self.position, expected);
            self.mismatch_at = self.first_mismatch(part, expected);
            self.position += part.len() as u64;
        }
    }

    /// Returns the verdict after the body has ended.
    #[must_use]
    pub fn finish(self) -> BodyVerdict {
        match self.mismatch_at {
            Some(position) => BodyVerdict::Wrong { position },
            None if self.position < self.len => BodyVerdict::Short {
                bytes: self.position,
            },
            None => BodyVerdict::Whole,
        }
    }

    fn first_mismatch(&self, part: &[u8], expected: &[u8]) -> Option<u64> {
        let left = self.len - self.position;
        let differs = match part == expected {
            true => None,
            false => part.iter().zip(expected).position(|(a, b)| a != b),
        };
        match differs.map(|at| at as u64) {
            Some(at) if at < left => Some(self.position + at),
            _ if part.len() as u64 > left => Some(self.len),
            _ => None,
        }
    }
}
