//! The parts of a prompt, which are the units that requests share and that engines cache.

/// One part of a prompt; several requests may have the same part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part; equal in all requests that share it.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// The parts before the last one. Unlike [`shared_parts`] this excludes the only part of a prompt.
pub fn leading_parts(prompt: &[PromptPart]) -> &[PromptPart] {
    prompt.split_last().map_or(prompt, |(_, leading)| leading)
}

/// The parts that other requests may share: all but the last, which is specific to the request or
/// its session. The only part of a prompt counts as shared.
pub fn shared_parts(prompt: &[PromptPart]) -> &[PromptPart] {
    match prompt.len() {
        0 | 1 => prompt,
        count => &prompt[..count - 1],
    }
}
