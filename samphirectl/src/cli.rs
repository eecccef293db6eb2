//! Command line. The shell and scripts accept the same statements.
#![expect(
    clippy::empty_structs_with_brackets,
    reason = "the derive macro of argh needs the brackets"
)]

use std::path::PathBuf;

use argh::FromArgs;

/// Query and control a samphiredeck system through any of its nodes.
#[derive(Debug, FromArgs)]
pub struct CtlArgs {
    /// address at which a node serves callers; may be repeated, the first node that can be reached
    /// is used (default: the addresses in `SAMPHIREDECK_NODES`, separated by spaces)
    #[argh(option)]
    pub node: Vec<String>,
    /// file with the operator key (default: the value of `SAMPHIREDECK_OPERATOR_KEY`)
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// print JSON instead of tables
    #[argh(switch)]
    pub json: bool,
    #[argh(subcommand)]
    pub command: CtlCommand,
}

/// One line of a script or of the shell.
#[derive(Debug, FromArgs)]
pub struct LineArgs {
    #[argh(subcommand)]
    pub statement: Statement,
}

macro_rules! commands {
    ($($name:ident($args:ident)),+ $(,)?) => {
        /// Statement that the command line, the shell and scripts accept.
        #[derive(Debug, FromArgs)]
        #[argh(subcommand)]
        pub enum Statement {
            $($name($args)),+
        }

        /// Command of the program: a statement, a source of statements, or an evaluation of logs.
        #[derive(Debug, FromArgs)]
        #[argh(subcommand)]
        pub enum CtlCommand {
            $($name($args),)+
            Shell(ShellArgs),
            Script(ScriptArgs),
            Explain(ExplainArgs),
            Plot(PlotArgs),
            Suspects(SuspectsArgs),
            Limits(LimitsArgs),
        }

        impl CtlCommand {
            /// Turns a command into its statement. The commands that are not statements are handled
            /// earlier; `nodes` stands in for them here.
            pub fn into_statement(self) -> Statement {
                match self {
                    $(Self::$name(args) => Statement::$name(args),)+
                    Self::Shell(_)
                    | Self::Script(_)
                    | Self::Explain(_)
                    | Self::Plot(_)
                    | Self::Suspects(_)
                    | Self::Limits(_) => Statement::Nodes(NodesArgs {}),
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

/// Show the running requests with their workspace, node and upstream.
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

/// Show tokens and cost by workspace and model.
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

/// Show the error budget burn rates over five minutes and one hour.
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

/// Put a declaration in force on all nodes, or on none.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// declaration file
    #[argh(positional)]
    pub file: PathBuf,
    /// version that must be in force, else the change is refused (default: the version in force)
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

/// Put the declaration of an earlier version in force as a new version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArgs {
    /// earlier version
    #[argh(positional)]
    pub version: u64,
}

/// Send no new requests to an upstream.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// id of the upstream
    #[argh(positional)]
    pub upstream: String,
}

/// Send new requests to an upstream again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct UndrainArgs {
    /// id of the upstream
    #[argh(positional)]
    pub upstream: String,
}

/// Cancel a request, wherever it runs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct CancelArgs {
    /// id of the request
    #[argh(positional)]
    pub request: String,
}

/// Run statements from a prompt or standard input.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "shell")]
pub struct ShellArgs {}

/// Run the statements in a file and stop at the first that fails.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "script")]
pub struct ScriptArgs {
    /// file with one statement per line
    #[argh(positional)]
    pub file: PathBuf,
}

/// Show what happened to a request, from the logs of nodes. Contacts no node.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// id of the request, as its caller knows it
    #[argh(positional)]
    pub request: String,
    /// log files of the nodes
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Show which prompt parts forwarding nodes suspect of crashing engines, or release one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "suspects")]
pub struct SuspectsArgs {
    /// metrics address of a forwarding node; may be repeated
    #[argh(option)]
    pub at: Vec<String>,
    /// key of a part that is to be served again on all nodes, as shown or as in the log
    #[argh(option)]
    pub release: Option<String>,
}

/// Show which limits of upstreams are in force at forwarding nodes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "limits")]
pub struct LimitsArgs {
    /// metrics address of a forwarding node; may be repeated
    #[argh(option)]
    pub at: Vec<String>,
}

/// Plot response times, refusals and capacity over time, from the logs of nodes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plot")]
pub struct PlotArgs {
    /// directory for the plots
    #[argh(option)]
    pub out: PathBuf,
    /// log files of the nodes
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}
