//! The parts of a prompt: what requests share with each other, and what an engine keeps.

/// One part of a prompt; parts are shared between requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's name, the same for all who share it.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// The parts that other requests may share: all but the last, which belongs to the request
/// itself or to its session.
pub fn shared_parts(prompt: &[PromptPart]) -> &[PromptPart] {
    match prompt.len() {
        0 | 1 => prompt,
        count => &prompt[..count - 1],
    }
}
