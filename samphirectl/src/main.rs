//! Command line of samphiredeck for operators: queries and commands, sent to any node.

mod cli;
mod client;
mod diff;
mod explain;
mod limits;
mod log_lines;
mod node_table;
mod output;
mod plot;
mod query;
mod statement;
mod suspects;

use std::{
    io::{BufRead, IsTerminal, Write},
    process::ExitCode,
};

use argh::FromArgs;
use eyre::WrapErr;
use mimalloc::MiMalloc;

use crate::{
    cli::{CtlArgs, CtlCommand, Statement},
    client::NodeClient,
    explain::explain_request,
    limits::show_limits,
    plot::plot_logs,
    statement::{ExitKind, run_statement},
    suspects::show_suspects,
};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let args: CtlArgs = argh::from_env();
    match &args.command {
        CtlCommand::Explain(explain) => {
            return exit_code(explain_request(&explain.request, &explain.files));
        }
        CtlCommand::Plot(plot) => return exit_code(plot_logs(&plot.out, &plot.files)),
        CtlCommand::Suspects(suspects) => {
            let shown = show_suspects(suspects, args.json);
            return exit_code(actix_web::rt::System::new().block_on(shown));
        }
        CtlCommand::Limits(limits) => {
            let shown = show_limits(limits, args.json);
            return exit_code(actix_web::rt::System::new().block_on(shown));
        }
        _ => {}
    }
    exit_code(actix_web::rt::System::new().block_on(run(args)))
}

fn exit_code(outcome: eyre::Result<ExitKind>) -> ExitCode {
    match outcome {
        Ok(kind) => ExitCode::from(kind as u8),
        Err(error) => {
            eprintln!("samphirectl: {error:#}");
            ExitCode::from(ExitKind::Usage as u8)
        }
    }
}

async fn run(args: CtlArgs) -> eyre::Result<ExitKind> {
    let client = NodeClient::from_args(&args)?;
    match args.command {
        CtlCommand::Shell(_) => run_lines(&client, args.json, std::io::stdin().lock(), true).await,
        CtlCommand::Script(script) => {
            let file = std::fs::File::open(&script.file)
                .wrap_err_with(|| script.file.display().to_string())?;
            run_lines(&client, args.json, std::io::BufReader::new(file), false).await
        }
        command => {
            let statement = command.into_statement();
            Ok(run_and_report(&client, args.json, &statement).await)
        }
    }
}

/// Runs one statement per line. A script stops at the first that fails, an interactive session goes
/// on.
async fn run_lines(
    client: &NodeClient,
    json: bool,
    mut lines: impl BufRead,
    interactive: bool,
) -> eyre::Result<ExitKind> {
    let prompt = interactive && std::io::stdin().is_terminal();
    let mut last = ExitKind::Success;
    let mut line = String::new();
    loop {
        if prompt {
            print!("samphiredeck> ");
            std::io::stdout().flush()?;
        }
        line.clear();
        if lines.read_line(&mut line)? == 0 {
            return Ok(last);
        }
        let text = line.trim();
        if text.is_empty() || text.starts_with('#') {
            continue;
        }
        if interactive && ["exit", "quit"].contains(&text) {
            return Ok(last);
        }
        last = match parse_line(text) {
            Ok(statement) => run_and_report(client, json, &statement).await,
            Err(message) => {
                eprintln!("samphirectl: {message}");
                ExitKind::Usage
            }
        };
        if !interactive && last != ExitKind::Success {
            eprintln!("samphirectl: script stopped at statement: {text}");
            return Ok(last);
        }
    }
}

/// Parses a line as the command line is parsed, with the quoting of a shell.
fn parse_line(text: &str) -> Result<Statement, String> {
    let words = shlex::split(text).ok_or("unclosed quote")?;
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let parsed = cli::LineArgs::from_args(&["samphirectl"], &words);
    parsed.map(|line| line.statement).map_err(|exit| exit.output.trim().to_owned())
}

async fn run_and_report(client: &NodeClient, json: bool, statement: &Statement) -> ExitKind {
    match run_statement(client, json, statement).await {
        Ok(kind) => kind,
        Err(error) => {
            eprintln!("samphirectl: {error:#}");
            ExitKind::Unreachable
        }
    }
}
