//! Request ids, represented by their rank in alphabetical order.

/// A request id: while loading, the number of its mention in the traces; afterwards, its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Request(u32);

/// Every mention of a request id in the traces, in the order of loading. There are too many ids to
/// keep them sorted while loading.
#[derive(Debug, Default)]
pub(crate) struct Mentions {
    texts: String,
    ends: Vec<usize>,
}

impl Mentions {
    pub(crate) fn push(&mut self, text: &str) -> Request {
        let mention = u32::try_from(self.ends.len()).expect("fewer than 2^32 events");
        self.texts.push_str(text);
        self.ends.push(self.texts.len());
        Request(mention)
    }

    fn text(&self, mention: u32) -> &str {
        let index = mention as usize;
        let begin = index.checked_sub(1).map_or(0, |before| self.ends[before]);
        &self.texts[begin..self.ends[index]]
    }

    /// Sorts the mentions and gives equal ids the same rank.
    pub(crate) fn rank(self) -> (Requests, Ranks) {
        let count = u32::try_from(self.ends.len()).expect("fewer than 2^32 events");
        let mut sorted: Vec<u32> = (0..count).collect();
        sorted.sort_unstable_by(|a, b| self.text(*a).cmp(self.text(*b)));
        let mut ranks = vec![Request(0); sorted.len()];
        let mut firsts: Vec<u32> = Vec::new();
        for mention in sorted {
            let repeats = firsts
                .last()
                .is_some_and(|first| self.text(*first) == self.text(mention));
            if !repeats {
                firsts.push(mention);
            }
            ranks[mention as usize] = Request(firsts.len() as u32 - 1);
        }
        let requests = Requests {
            mentions: self,
            firsts,
        };
        (requests, Ranks(ranks))
    }
}

/// The rank of each mention.
#[derive(Debug)]
pub(crate) struct Ranks(Vec<Request>);

impl Ranks {
    pub(crate) fn of(&self, mention: Request) -> Request {
        self.0[mention.0 as usize]
    }
}

/// The distinct request ids of a run, by rank.
#[derive(Debug)]
pub(crate) struct Requests {
    mentions: Mentions,
    firsts: Vec<u32>,
}

impl Requests {
    pub(crate) fn text(&self, request: Request) -> &str {
        self.mentions.text(self.firsts[request.0 as usize])
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Request> + use<> {
        (0..self.firsts.len() as u32).map(Request)
    }
}
