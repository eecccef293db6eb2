//! Deterministic answers. The text of a token depends only on the prompt and its position, so that
//! a client can verify an answer.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Text of token `index` of the answer to `prompt`.
#[must_use]
pub fn token_text(prompt: &str, index: u64) -> String {
    let word = xxh3_64_with_seed(prompt.as_bytes(), index) & 0xffff;
    format!("w{word:04x} ")
}

/// Text of the complete answer of `tokens` tokens to `prompt`.
#[must_use]
pub fn expected_answer(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// Prompt that a node builds from a chat with one user message.
#[must_use]
pub fn chat_prompt(content: &str) -> String {
    format!("user: {content}\n")
}
