//! How far a leader has its peers' accounts.

/// A place in a peer's account: numbers mean something only together with the process that gave them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    pub process: u64,
    pub upto: u64,
}

impl Cursor {
    /// The place in the account of this process; that of another one begins anew.
    pub fn in_process(self, process: u64) -> u64 {
        if self.process == process {
            self.upto
        } else {
            0
        }
    }
}

/// A leader's places in the accounts of its peers.
#[derive(Debug, Clone)]
pub struct DeliveryCursors(Vec<Cursor>);

impl DeliveryCursors {
    pub fn new(peers: usize) -> DeliveryCursors {
        DeliveryCursors(vec![Cursor::default(); peers])
    }

    /// What to ask a peer from.
    pub fn cursor(&self, peer: usize) -> Cursor {
        self.0.get(peer).copied().unwrap_or_default()
    }

    /// A peer's answer was taken in, up to this number of its account.
    pub fn took(&mut self, peer: usize, process: u64, upto: u64) {
        if let Some(c) = self.0.get_mut(peer) {
            *c = Cursor {
                process,
                upto: upto.max(c.in_process(process)),
            };
        }
    }
}
