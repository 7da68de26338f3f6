//! Positions of a leader in its peers' cancellation logs.

/// Position in a peer's log. Sequence numbers are only comparable within one incarnation of the peer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Identifies the peer's process.
    pub incarnation: u64,
    /// Sequence number of the last entry received.
    pub sequence: u64,
}

impl Cursor {
    /// Returns the position in the log of the given incarnation, or zero if the cursor belongs to another one.
    pub fn sequence_in(self, incarnation: u64) -> u64 {
        if self.incarnation == incarnation {
            self.sequence
        } else {
            0
        }
    }
}

/// Holds a leader's positions in the logs of its peers, by the peers' indices.
#[derive(Debug, Clone)]
pub struct DeliveryCursors(Vec<Cursor>);

impl DeliveryCursors {
    /// Creates cursors at the beginning of each peer's log.
    pub fn new(peers: usize) -> DeliveryCursors {
        DeliveryCursors(vec![Cursor::default(); peers])
    }

    /// Returns the position after which entries are requested from a peer.
    pub fn cursor(&self, peer: usize) -> Cursor {
        self.0.get(peer).copied().unwrap_or_default()
    }

    /// Records that the entries of a peer's incarnation were applied up to this sequence number.
    pub fn advance(&mut self, peer: usize, incarnation: u64, sequence: u64) {
        if let Some(cursor) = self.0.get_mut(peer) {
            *cursor = Cursor {
                incarnation,
                sequence: sequence.max(cursor.sequence_in(incarnation)),
            };
        }
    }
}
