//! Execution of statements.

use std::{fs, path::Path};

use eyre::{WrapErr, bail, eyre};
use samphiredeck_core::{
    account::AccountRow,
    declaration::{Declaration, RawDeclaration},
    rows::ConfigRow,
};
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    cli::{
        ApplyArgs, BurnArgs, CancelArgs, CostArgs, PlanArgs, ReportKind, RollbackArgs, RunningArgs,
        ShowArgs, Statement, UpstreamsArgs,
    },
    client::{NodeClient, NodeResponse},
    diff::diff_declarations,
    output::{add_row_of_fields, format_table, new_table},
    query::{collect_burn, collect_rows, filter_rows, merge_upstreams},
};

/// Costs are counted in billionths of the unit of the platform's currency.
const NANOS_PER_CURRENCY_UNIT: f64 = 1e9;

/// Exit status of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitKind {
    /// The statement succeeded.
    Success = 0,
    /// The statement was refused; nothing has changed.
    Refused = 1,
    /// The command line, a file or a declaration is invalid.
    Usage = 2,
    /// Another change was accepted first or is in progress.
    Conflict = 3,
    /// The statement succeeded, but some nodes are missing from the response.
    Partial = 4,
    /// No node answered, or the outcome is not known.
    Unreachable = 5,
}

/// Runs a statement and prints its outcome.
pub async fn run_statement(
    client: &NodeClient,
    json: bool,
    statement: &Statement,
) -> eyre::Result<ExitKind> {
    match statement {
        Statement::Running(args) => show_running(client, json, args).await,
        Statement::Upstreams(args) => show_upstreams(client, json, args).await,
        Statement::Nodes(_) => show_nodes(client, json).await,
        Statement::Cost(args) => show_cost(client, json, args).await,
        Statement::Report(args) => match &args.kind {
            ReportKind::Burn(burn) => show_burn(client, json, burn).await,
        },
        Statement::Plan(args) => plan(client, json, args).await,
        Statement::Apply(args) => apply(client, json, args).await,
        Statement::History(_) => show_history(client, json).await,
        Statement::Show(args) => show_config(client, args).await,
        Statement::Rollback(args) => roll_back(client, json, args).await,
        Statement::Drain(args) => set_drained(client, json, &args.upstream, true).await,
        Statement::Undrain(args) => set_drained(client, json, &args.upstream, false).await,
        Statement::Cancel(args) => cancel(client, json, args).await,
    }
}

fn print_json<T: Serialize>(value: &T) -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Prints a table with the named fields of `rows`.
fn print_rows(rows: &[Value], fields: &[&str]) {
    let mut table = new_table(fields);
    for row in rows {
        add_row_of_fields(&mut table, row, fields);
    }
    println!("{}", format_table(&table));
}

/// Returns the body of a successful answer, or its error message as an error.
fn into_body(response: NodeResponse) -> eyre::Result<Value> {
    if response.is_success() { Ok(response.body) } else { bail!("{}", response.message()) }
}

/// Fetches the state of all nodes.
async fn fetch_cluster(client: &NodeClient) -> eyre::Result<Value> {
    into_body(client.get("/admin/cluster").await?)
}

/// Reports the nodes that are missing from an answer, and returns the exit status.
fn report_missing_nodes(cluster: &Value) -> ExitKind {
    let missing = cluster["missing"].as_array().map(Vec::as_slice).unwrap_or_default();
    if missing.is_empty() {
        return ExitKind::Success;
    }
    let names: Vec<&str> = missing.iter().filter_map(Value::as_str).collect();
    eprintln!("samphirectl: partial result, no answer from {}", names.join(", "));
    ExitKind::Partial
}

fn show_rows(
    cluster: &Value,
    json: bool,
    rows: &[Value],
    fields: &[&str],
) -> eyre::Result<ExitKind> {
    if json {
        print_json(&json!({ "rows": rows, "missing": cluster["missing"] }))?;
    } else {
        print_rows(rows, fields);
    }
    Ok(report_missing_nodes(cluster))
}

async fn show_running(
    client: &NodeClient,
    json: bool,
    args: &RunningArgs,
) -> eyre::Result<ExitKind> {
    let cluster = fetch_cluster(client).await?;
    let wanted = [("workspace", &args.workspace), ("class", &args.class), ("node", &args.on)];
    let rows = filter_rows(collect_rows(&cluster, "runs"), &wanted);
    let fields = ["request", "workspace", "class", "model", "node", "upstream", "tokens", "age_ms"];
    show_rows(&cluster, json, &rows, &fields)
}

async fn show_upstreams(
    client: &NodeClient,
    json: bool,
    args: &UpstreamsArgs,
) -> eyre::Result<ExitKind> {
    let cluster = fetch_cluster(client).await?;
    let rows = merge_upstreams(collect_rows(&cluster, "upstreams"));
    let rows = filter_rows(rows, &[("domain", &args.domain), ("state", &args.state)]);
    let fields =
        ["id", "kind", "domain", "state", "in_flight", "queued", "slots", "price", "models"];
    show_rows(&cluster, json, &rows, &fields)
}

async fn show_nodes(client: &NodeClient, json: bool) -> eyre::Result<ExitKind> {
    let cluster = fetch_cluster(client).await?;
    let rows = cluster["nodes"].as_array().cloned().unwrap_or_default();
    let fields =
        ["node", "domain", "version", "admitting", "stopping", "table_up", "waiting", "running"];
    show_rows(&cluster, json, &rows, &fields)
}

async fn show_cost(client: &NodeClient, json: bool, args: &CostArgs) -> eyre::Result<ExitKind> {
    let body = into_body(client.get("/admin/usage").await?)?;
    let rows: Vec<AccountRow> = serde_json::from_value(body)?;
    let wanted = args.workspace.as_deref();
    let rows: Vec<AccountRow> = rows
        .into_iter()
        .filter(|row| wanted.is_none_or(|name| row.workspace.as_str() == name))
        .collect();
    if json {
        print_json(&rows)?;
        return Ok(ExitKind::Success);
    }
    let mut table = new_table(&[
        "workspace",
        "model",
        "answers",
        "prompt",
        "cached",
        "generated",
        "recomputed",
        "cost",
    ]);
    for row in &rows {
        #[expect(clippy::cast_precision_loss, reason = "shown to six digits")]
        let cost = row.cost as f64 / NANOS_PER_CURRENCY_UNIT;
        table.add_row([
            row.workspace.to_string(),
            row.model.to_string(),
            row.answers.to_string(),
            row.prompt.to_string(),
            row.cached.to_string(),
            row.generated.to_string(),
            row.recomputed.to_string(),
            format!("{cost:.6}"),
        ]);
    }
    println!("{}", format_table(&table));
    Ok(ExitKind::Success)
}

async fn show_burn(client: &NodeClient, json: bool, args: &BurnArgs) -> eyre::Result<ExitKind> {
    let cluster = fetch_cluster(client).await?;
    let mut rows = collect_burn(&cluster);
    if let Some(name) = &args.workspace {
        rows.retain(|row| row.workspace.as_str() == name);
    }
    if json {
        print_json(&json!({ "rows": rows, "missing": cluster["missing"] }))?;
        return Ok(report_missing_nodes(&cluster));
    }
    let mut table =
        new_table(&["workspace", "class", "good", "bad", "allowed", "burn 5min", "burn 1h"]);
    for row in &rows {
        table.add_row([
            row.workspace.to_string(),
            row.class.to_string(),
            row.good.to_string(),
            row.bad.to_string(),
            format!("{:.1}%", row.allowed * 100.0),
            format!("{:.2}", row.short_burn),
            format!("{:.2}", row.long_burn),
        ]);
    }
    println!("{}", format_table(&table));
    Ok(report_missing_nodes(&cluster))
}

/// Reads a declaration file and validates it.
fn load_declaration(path: &Path) -> eyre::Result<RawDeclaration> {
    let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    let raw: RawDeclaration =
        serde_json::from_str(&text).wrap_err_with(|| path.display().to_string())?;
    Declaration::try_from(raw.clone()).wrap_err_with(|| path.display().to_string())?;
    Ok(raw)
}

async fn fetch_config(client: &NodeClient) -> eyre::Result<ConfigRow> {
    Ok(serde_json::from_value(into_body(client.get("/admin/config").await?)?)?)
}

async fn plan(client: &NodeClient, json: bool, args: &PlanArgs) -> eyre::Result<ExitKind> {
    let new = match load_declaration(&args.file) {
        Ok(new) => new,
        Err(error) => return Ok(report_usage_error(&error)),
    };
    let config = fetch_config(client).await?;
    let rows = diff_declarations(&config.declaration, &new);
    if json {
        print_json(&json!({ "version": config.version, "changes": rows }))?;
        return Ok(ExitKind::Success);
    }
    println!("changes against version {}:", config.version);
    for row in &rows {
        println!("  {row}");
    }
    if rows.is_empty() {
        println!("  no changes");
    }
    Ok(ExitKind::Success)
}

fn report_usage_error(error: &eyre::Report) -> ExitKind {
    eprintln!("samphirectl: {error:#}");
    ExitKind::Usage
}

fn author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".to_owned())
}

async fn apply(client: &NodeClient, json: bool, args: &ApplyArgs) -> eyre::Result<ExitKind> {
    let declaration = match load_declaration(&args.file) {
        Ok(declaration) => declaration,
        Err(error) => return Ok(report_usage_error(&error)),
    };
    let expected_version = match args.expect {
        Some(version) => version,
        None => fetch_config(client).await?.version.0,
    };
    change(client, json, &declaration, expected_version, &args.note).await
}

/// Requests a change that is accepted only if `expected_version` is in force, and prints the
/// outcome.
async fn change(
    client: &NodeClient,
    json: bool,
    declaration: &RawDeclaration,
    expected_version: u64,
    note: &str,
) -> eyre::Result<ExitKind> {
    let body = json!({
        "declaration": declaration, "expect": expected_version, "author": author(), "note": note,
    });
    let response = client.post("/admin/change", &body).await?;
    if json {
        print_json(&response.body)?;
    }
    let outcome = response.body["outcome"].as_str().unwrap_or_default();
    let body = &response.body;
    let (kind, message) = match outcome {
        "accepted" => (ExitKind::Success, format!("version {} is in force", body["version"])),
        "conflict" => (
            ExitKind::Conflict,
            format!("version {} by {} was accepted first", body["version"], body["author"]),
        ),
        "busy" => {
            (ExitKind::Conflict, format!("another change is running at {}", body["coordinator"]))
        }
        "invalid" => (ExitKind::Usage, body["reason"].to_string()),
        "unacknowledged" => (
            ExitKind::Refused,
            format!("refused: not acknowledged by {}; nothing has changed", body["missing"]),
        ),
        "table-down" => (
            ExitKind::Refused,
            "refused: the table service is down; nothing has changed".to_owned(),
        ),
        "unknown" => (
            ExitKind::Unreachable,
            format!("the outcome is not known; look for change {} in the history", body["change"]),
        ),
        _ => (ExitKind::Refused, response.message()),
    };
    if !json {
        println!("{message}");
        let unconfirmed = body["unconfirmed"].as_array().cloned().unwrap_or_default();
        if !unconfirmed.is_empty() {
            println!(
                "not confirmed by these nodes, which admit no requests: {}",
                body["unconfirmed"]
            );
        }
    }
    Ok(kind)
}

async fn fetch_history(client: &NodeClient) -> eyre::Result<Vec<ConfigRow>> {
    Ok(serde_json::from_value(into_body(client.get("/admin/history").await?)?)?)
}

async fn show_history(client: &NodeClient, json: bool) -> eyre::Result<ExitKind> {
    let history = fetch_history(client).await?;
    if json {
        print_json(&history)?;
        return Ok(ExitKind::Success);
    }
    let mut table = new_table(&["version", "accepted at", "author", "note", "change"]);
    for row in &history {
        table.add_row([
            row.version.to_string(),
            row.accepted_at.to_string(),
            row.author.clone(),
            row.note.clone(),
            row.change.clone(),
        ]);
    }
    println!("{}", format_table(&table));
    Ok(ExitKind::Success)
}

async fn find_version(client: &NodeClient, version: u64) -> eyre::Result<ConfigRow> {
    let history = fetch_history(client).await?;
    let found = history.into_iter().find(|row| row.version.0 == version);
    found.ok_or_else(|| eyre!("version: {version} is not in the history"))
}

async fn show_config(client: &NodeClient, args: &ShowArgs) -> eyre::Result<ExitKind> {
    let row = match args.version {
        Some(version) => find_version(client, version).await?,
        None => fetch_config(client).await?,
    };
    print_json(&row)?;
    Ok(ExitKind::Success)
}

async fn roll_back(client: &NodeClient, json: bool, args: &RollbackArgs) -> eyre::Result<ExitKind> {
    let earlier = find_version(client, args.version).await?;
    let current = fetch_config(client).await?;
    let note = format!("rollback to version {}", args.version);
    change(client, json, &earlier.declaration, current.version.0, &note).await
}

async fn set_drained(
    client: &NodeClient,
    json: bool,
    upstream: &str,
    drained: bool,
) -> eyre::Result<ExitKind> {
    let config = fetch_config(client).await?;
    let mut declaration = config.declaration;
    declaration.drained.retain(|id| id != upstream);
    if drained {
        declaration.drained.push(upstream.to_owned());
    }
    let verb = if drained { "drain" } else { "undrain" };
    let note = format!("{verb} {upstream}");
    change(client, json, &declaration, config.version.0, &note).await
}

async fn cancel(client: &NodeClient, json: bool, args: &CancelArgs) -> eyre::Result<ExitKind> {
    let body = json!({ "request": args.request });
    let response = client.post("/admin/cancel", &body).await?;
    if json {
        print_json(&response.body)?;
    } else if response.is_success() {
        println!("{} is cancelled", args.request);
    } else {
        println!("{}", response.message());
    }
    Ok(if response.is_success() { ExitKind::Success } else { ExitKind::Refused })
}
