//! Fixtures shared by the integration tests.
#![allow(dead_code)]

pub mod engines;
pub mod keeper_bench;
pub mod raft_bench;
pub mod raw_answer;
pub mod rollouts;

use wingshed_standin::caller::ChatRequest;
use wingshed_standin::system::{SystemOptions, SystemStandIn};

/// A system with its own temporary folder, which is removed when the fixture is dropped.
pub struct SystemFixture {
    pub system: SystemStandIn,
    _folder: tempfile::TempDir,
}

/// Starts the small system, adapted by `change`.
pub fn system_with(change: impl FnOnce(&mut SystemOptions)) -> SystemFixture {
    let folder = tempfile::tempdir().unwrap();
    let mut make = SystemOptions::small(folder.path().to_path_buf());
    change(&mut make);
    SystemFixture { system: SystemStandIn::start(make), _folder: folder }
}

/// Returns a request of workspace `w0` for a chat that already has an answer.
pub fn returning_chat(request_id: &str, service: &str) -> ChatRequest {
    ChatRequest {
        workspace: "w0".to_string(),
        key: "k0".to_string(),
        request_id: request_id.to_string(),
        chat: "chat-1".to_string(),
        service: service.to_string(),
        prompt_tokens: 50,
        max_tokens: 12,
        stream: true,
        run_once: false,
        returning: true,
    }
}
