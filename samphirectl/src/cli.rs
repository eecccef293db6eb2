//! Command line and statements, which are one language.
#![expect(clippy::empty_structs_with_brackets, reason = "the parser's derive needs the brackets")]

use std::path::PathBuf;

use argh::FromArgs;

/// Ask and command a samphiredeck system through any of its nodes.
#[derive(Debug, FromArgs)]
pub struct CtlArgs {
    /// callers' address of a node; more than one may be given, the first that answers is used
    /// (default: the words of `SAMPHIREDECK_NODES`)
    #[argh(option)]
    pub node: Vec<String>,
    /// file with the operators' key (default: the text of `SAMPHIREDECK_OPERATOR_KEY`)
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// print JSON instead of tables
    #[argh(switch)]
    pub json: bool,
    #[argh(subcommand)]
    pub command: CtlCommand,
}

/// One line of a script or of the prompt.
#[derive(Debug, FromArgs)]
pub struct LineArgs {
    #[argh(subcommand)]
    pub statement: Statement,
}

macro_rules! commands {
    ($($name:ident($args:ident)),+ $(,)?) => {
        /// Statement of the language.
        #[derive(Debug, FromArgs)]
        #[argh(subcommand)]
        pub enum Statement {
            $($name($args)),+
        }

        /// Command of the program: a statement, or where statements come from.
        #[derive(Debug, FromArgs)]
        #[argh(subcommand)]
        pub enum CtlCommand {
            $($name($args),)+
            Shell(ShellArgs),
            Script(ScriptArgs),
            Explain(ExplainArgs),
            Plot(PlotArgs),
        }

        impl CtlCommand {
            /// Turns a command into its statement.
            pub fn into_statement(self) -> Statement {
                match self {
                    $(Self::$name(args) => Statement::$name(args),)+
                    Self::Shell(_) | Self::Script(_) | Self::Explain(_) | Self::Plot(_) => {
                        Statement::Nodes(NodesArgs {})
                    }
                }
            }
        }
    };
}

commands!(
    Running(RunningArgs),
    Upstreams(UpstreamsArgs),
    Nodes(NodesArgs),
    Cost(CostArgs),
    Report(ReportArgs),
    Plan(PlanArgs),
    Apply(ApplyArgs),
    History(HistoryArgs),
    Show(ShowArgs),
    Rollback(RollbackArgs),
    Drain(DrainArgs),
    Undrain(UndrainArgs),
    Cancel(CancelArgs),
);

/// Show what runs, where and for whom.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "running")]
pub struct RunningArgs {
    /// only this workspace
    #[argh(option)]
    pub workspace: Option<String>,
    /// only this class: urgent, prompt or patient
    #[argh(option)]
    pub class: Option<String>,
    /// only this node
    #[argh(option)]
    pub on: Option<String>,
}

/// Show the upstreams with their state and load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstreams")]
pub struct UpstreamsArgs {
    /// only this failure domain
    #[argh(option)]
    pub domain: Option<String>,
    /// only this state: accepting, leaving, drained or silent
    #[argh(option)]
    pub state: Option<String>,
}

/// Show the nodes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "nodes")]
pub struct NodesArgs {}

/// Show the work done and its cost, by workspace and model.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cost")]
pub struct CostArgs {
    /// only this workspace
    #[argh(option)]
    pub workspace: Option<String>,
}

/// Show a report.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    #[argh(subcommand)]
    pub kind: ReportKind,
}

/// Kinds of reports.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ReportKind {
    Burn(BurnArgs),
}

/// Burn of the error budgets, over five minutes and one hour.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct BurnArgs {
    /// only this workspace
    #[argh(option)]
    pub workspace: Option<String>,
}

/// Show what a declaration would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {
    /// declaration file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Put a declaration in force everywhere, or not at all.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// declaration file
    #[argh(positional)]
    pub file: PathBuf,
    /// version that must be in force before
    #[argh(option)]
    pub expect: Option<u64>,
    /// note for the history
    #[argh(option, default = "String::new()")]
    pub note: String,
}

/// Show the accepted versions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {}

/// Show the declaration of a version, or the one in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// version
    #[argh(positional)]
    pub version: Option<u64>,
}

/// Put the declaration of a former version in force as a new version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArgs {
    /// former version
    #[argh(positional)]
    pub version: u64,
}

/// Send no new work to an upstream.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// upstream
    #[argh(positional)]
    pub upstream: String,
}

/// Send new work to an upstream again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct UndrainArgs {
    /// upstream
    #[argh(positional)]
    pub upstream: String,
}

/// Cancel a request, wherever it runs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct CancelArgs {
    /// request
    #[argh(positional)]
    pub request: String,
}

/// Read statements from a prompt or standard input.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "shell")]
pub struct ShellArgs {}

/// Read statements from a file and stop at the first that fails.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "script")]
pub struct ScriptArgs {
    /// file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Tell from the logs of nodes what happened to a request. Asks no node.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// identity of the request, as its caller knows it
    #[argh(positional)]
    pub request: String,
    /// logs of the nodes
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Draw first signs, refusals and capacity over time out of the logs of nodes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plot")]
pub struct PlotArgs {
    /// folder for the plots
    #[argh(option)]
    pub out: PathBuf,
    /// logs of the nodes
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}
