//! How many connections to upstreams a VM opened, and why no other served.

/// Why a connection is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectCause {
    /// This VM had none to this life of the upstream.
    First,
    /// Those that it has are in use.
    Busy,
    /// The last one had rested for its time.
    Rested,
    /// The upstream closed the last one.
    Closed,
    /// This VM cut the last one in the middle of an answer.
    Cut,
}

impl ConnectCause {
    /// All of them, in the order of the counters.
    pub const ALL: [ConnectCause; 5] = [
        ConnectCause::First,
        ConnectCause::Busy,
        ConnectCause::Rested,
        ConnectCause::Closed,
        ConnectCause::Cut,
    ];

    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            ConnectCause::First => "first",
            ConnectCause::Busy => "busy",
            ConnectCause::Rested => "rested",
            ConnectCause::Closed => "closed",
            ConnectCause::Cut => "cut",
        }
    }
}

/// Connections that were opened since the VM's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectCount {
    counts: [u64; ConnectCause::ALL.len()],
}

impl ConnectCount {
    /// One was opened.
    pub fn note(&mut self, cause: ConnectCause) {
        self.counts[cause as usize] += 1;
    }

    /// How many were opened for this cause.
    pub fn opened(&self, cause: ConnectCause) -> u64 {
        self.counts[cause as usize]
    }
}
