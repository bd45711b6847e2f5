//! Counts of the connections that a VM opened to upstreams, by cause.

/// The reason why a request needed a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectCause {
    /// The VM had no connection to this incarnation of the upstream before.
    First,
    /// All open connections are in use.
    Busy,
    /// The last one had reached its idle time-out.
    IdleTimeout,
    /// The upstream closed the last one.
    Closed,
    /// The VM closed the last one in the middle of an answer.
    Cut,
}

impl ConnectCause {
    /// All causes, in the order of the counters.
    pub const ALL: [ConnectCause; 5] = [
        ConnectCause::First,
        ConnectCause::Busy,
        ConnectCause::IdleTimeout,
        ConnectCause::Closed,
        ConnectCause::Cut,
    ];

    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ConnectCause::First => "first",
            ConnectCause::Busy => "busy",
            ConnectCause::IdleTimeout => "rested",
            ConnectCause::Closed => "closed",
            ConnectCause::Cut => "cut",
        }
    }
}

/// The number of connections opened since the VM started, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectCount {
    counts: [u64; ConnectCause::ALL.len()],
}

impl ConnectCount {
    /// Counts a connection that was opened.
    pub fn note(&mut self, cause: ConnectCause) {
        self.counts[cause as usize] += 1;
    }

    /// The number of connections opened for this cause.
    pub fn opened(&self, cause: ConnectCause) -> u64 {
        self.counts[cause as usize]
    }
}
