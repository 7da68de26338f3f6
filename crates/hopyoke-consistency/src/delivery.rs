//! How far a leader has received its peers' cancellation logs.

/// A position in a peer's log. Its numbers mean something only together with the process that gave them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    /// The peer's process.
    pub incarnation: u64,
    /// The sequence number of the last entry received.
    pub sequence: u64,
}

impl Cursor {
    /// The position in the log of this process; that of another one begins at zero.
    pub fn sequence_in(self, incarnation: u64) -> u64 {
        if self.incarnation == incarnation {
            self.sequence
        } else {
            0
        }
    }
}

/// A leader's positions in the logs of its peers, by the peers' indices.
#[derive(Debug, Clone)]
pub struct DeliveryCursors(Vec<Cursor>);

impl DeliveryCursors {
    /// Positions at the beginning of each peer's log.
    pub fn new(peers: usize) -> DeliveryCursors {
        DeliveryCursors(vec![Cursor::default(); peers])
    }

    /// The position after which a peer is asked for entries.
    pub fn cursor(&self, peer: usize) -> Cursor {
        self.0.get(peer).copied().unwrap_or_default()
    }

    /// Entries of a peer's process were applied, up to this sequence number.
    pub fn advance(&mut self, peer: usize, incarnation: u64, sequence: u64) {
        if let Some(cursor) = self.0.get_mut(peer) {
            *cursor = Cursor {
                incarnation,
                sequence: sequence.max(cursor.sequence_in(incarnation)),
            };
        }
    }
}
