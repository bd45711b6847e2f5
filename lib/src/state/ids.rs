//! Small `Copy` keys. Names are used at the interfaces only; tables use these keys.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

macro_rules! small_key {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

small_key!(
    /// A router, identified by the number in its settings.
    RouterId,
    u32
);
small_key!(
    /// A keeper, identified by the number in its settings.
    KeeperId,
    u32
);
small_key!(
    /// One incarnation of a process or of a keeper's disk; no two incarnations of it are equal.
    Incarnation,
    u64
);
small_key!(
    /// An incarnation of an upstream, identified by the hash of its name and start time, so that all
    /// routers compute the same key.
    UpstreamKey,
    u64
);
small_key!(
    /// A fleet, identified by the hash of its name.
    FleetKey,
    u64
);
small_key!(
    /// A service, identified by the hash of its name.
    ServiceKey,
    u32
);
small_key!(
    /// A workspace, identified by the hash of its name.
    WorkspaceKey,
    u64
);
small_key!(
    /// A chat, identified by the hash of its workspace and its name.
    ChatKey,
    u64
);

small_key!(
    /// A stream of events, identified by the hash of the id of the attempt that began it.
    StreamKey,
    u64
);

small_key!(
    /// A request, identified by the hash of its content, so that repeated attempts at any VM have
    /// the same fingerprint; see [`RequestFingerprint::of`].
    RequestFingerprint,
    u64
);

impl RequestFingerprint {
    /// The fingerprint of what a caller requests. It excludes whatever changes when the request is
    /// attempted again, such as the attempt's name. `workspace` identifies the caller if its key
    /// belongs to one, so that the fingerprint remains the same when the caller changes keys.
    pub fn of(
        method: &str,
        host: &str,
        path: &str,
        workspace: Option<&str>,
        body: &[u8],
    ) -> RequestFingerprint {
        let mut hash = Xxh3::new();
        for part in [method, host, path, workspace.unwrap_or_default()] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(body);
        let digest = hash.digest();
        match digest & PART_MASK {
            PART_MASK => RequestFingerprint(digest & !(1 << 63)),
            _ => RequestFingerprint(digest),
        }
    }

    /// The fingerprint of all requests whose prompts have this part.
    pub fn of_part(part: u64) -> RequestFingerprint {
        RequestFingerprint(xxh3_64(&part.to_le_bytes()) | PART_MASK)
    }

    /// Whether this is the fingerprint of a prompt part.
    pub fn is_part(self) -> bool {
        self.0 & PART_MASK == PART_MASK
    }
}

/// The bits that are set in the fingerprints of prompt parts, and not all set in those of requests.
const PART_MASK: u64 = 0xff << 56;

impl ServiceKey {
    /// The key of the service with this name.
    pub fn of(name: &str) -> ServiceKey {
        ServiceKey(xxh3_64(name.as_bytes()) as u32)
    }
}

impl StreamKey {
    /// The key of the stream that the attempt with this id began.
    pub fn of(attempt: &str) -> StreamKey {
        StreamKey(xxh3_64(attempt.as_bytes()))
    }
}

impl UpstreamKey {
    /// The key of the upstream with this name, without a start time.
    pub fn of(name: &str) -> UpstreamKey {
        UpstreamKey(xxh3_64(name.as_bytes()))
    }

    /// The key of the incarnation of this name that started at this time, in Unix milliseconds. All
    /// incarnations of a name without start times have the same key. See `docs/design/identity.md`.
    pub fn of_start(name: &str, started_ms: Option<u64>) -> UpstreamKey {
        let Some(started_ms) = started_ms else { return UpstreamKey::of(name) };
        let mut bytes = Vec::with_capacity(name.len() + 1 + size_of::<u64>());
        bytes.extend_from_slice(name.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(&started_ms.to_le_bytes());
        UpstreamKey(xxh3_64(&bytes))
    }
}

impl FleetKey {
    /// The key of the fleet with this name.
    pub fn of(name: &str) -> FleetKey {
        FleetKey(xxh3_64(name.as_bytes()))
    }
}

impl WorkspaceKey {
    /// The key of the workspace with this name.
    pub fn of(name: &str) -> WorkspaceKey {
        WorkspaceKey(xxh3_64(name.as_bytes()))
    }
}

impl ChatKey {
    /// The key of `chat` within `workspace`; two workspaces never share a chat.
    pub fn of(workspace: &str, chat: &str) -> ChatKey {
        let mut bytes = Vec::with_capacity(workspace.len() + chat.len() + 1);
        bytes.extend_from_slice(workspace.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(chat.as_bytes());
        ChatKey(xxh3_64(&bytes))
    }
}
