//! Small `Copy` keys. Names appear at the edges only; tables use these.

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
    /// A router, by the number its settings give it.
    RouterId,
    u32
);
small_key!(
    /// A keeper, by the number its settings give it.
    KeeperId,
    u32
);
small_key!(
    /// One life of a process or of a keeper's disk; a later life is never taken for an earlier one.
    Incarnation,
    u64
);
small_key!(
    /// An upstream, by the hash of its name, so that every router uses the same key unasked.
    UpstreamKey,
    u64
);
small_key!(
    /// A fleet, by the hash of its name.
    FleetKey,
    u64
);
small_key!(
    /// A workspace, by the hash of its name.
    WorkspaceKey,
    u64
);
small_key!(
    /// A chat, by the hash of its workspace and its own name.
    ChatKey,
    u64
);

small_key!(
    /// A request by its content, whichever VM gets it and however often; see [`RequestMark::of`].
    RequestMark,
    u64
);

impl RequestMark {
    /// The mark of what a caller asks for: what stays the same when it comes again under a new name for
    /// the attempt. `workspace` stands for the caller where its key has one, so that a caller who
    /// changes keys is known again.
    pub fn of(
        method: &str,
        host: &str,
        path: &str,
        workspace: Option<&str>,
        body: &[u8],
    ) -> RequestMark {
        let mut hash = Xxh3::new();
        for part in [method, host, path, workspace.unwrap_or_default()] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(body);
        RequestMark(hash.digest())
    }
}

impl UpstreamKey {
    /// The key of the upstream with this name.
    pub fn of(name: &str) -> UpstreamKey {
        UpstreamKey(xxh3_64(name.as_bytes()))
    }

    /// The key of the incarnation of this name that was born then, in Unix milliseconds; a name
    /// without a birth is one incarnation. See `docs/design/identity.md`.
    pub fn of_start(name: &str, born: Option<u64>) -> UpstreamKey {
        let Some(born) = born else { return UpstreamKey::of(name) };
        let mut bytes = Vec::with_capacity(name.len() + 1 + size_of::<u64>());
        bytes.extend_from_slice(name.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(&born.to_le_bytes());
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
