//! Command-line arguments of the node.

use std::path::PathBuf;

use argh::FromArgs;

/// A node of samphiredeck, between callers and upstreams.
#[derive(Debug, FromArgs)]
pub struct NodeArgs {
    #[argh(subcommand)]
    pub command: NodeCommand,
}

/// Subcommand.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum NodeCommand {
    Run(RunArgs),
    Forward(ForwardArgs),
    Check(CheckArgs),
    Hash(HashArgs),
}

/// Run a node until it is told to stop.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArgs {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Run a node that forwards requests to the platform's upstreams, until it is told to stop.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "forward")]
pub struct ForwardArgs {
    /// settings file of a forwarding node
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Check a settings file and say what is wrong with it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the settings are those of a forwarding node
    #[argh(switch)]
    pub forward: bool,
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Print the hash of a bearer key read from standard input.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
#[expect(clippy::empty_structs_with_brackets, reason = "the parser's derive needs the brackets")]
pub struct HashArgs {}
