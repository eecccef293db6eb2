//! Suspected prompt parts of forwarding nodes, at their metrics addresses.

use eyre::eyre;
use samphiredeck_core::ids::SuspectKey;

use crate::{
    cli::SuspectsArgs,
    node_table::{NodeTable, call, new_client, parse_addresses, show_table},
    statement::ExitKind,
};

const SUSPECTS_TABLE: NodeTable = NodeTable {
    path: "/suspects",
    rows: "parts",
    fields: &[
        "node",
        "part",
        "crashes",
        "engine_runs",
        "last_crash_ms",
        "trial_in_ms",
        "response_ms",
    ],
};

/// Prints which parts each node suspects, after the release of one if that is asked for.
///
/// # Errors
///
/// Returns an error that names the argument that is invalid.
pub async fn show_suspects(args: &SuspectsArgs, json: bool) -> eyre::Result<ExitKind> {
    let nodes = parse_addresses(&args.at)?;
    let first = nodes[0];
    let client = new_client();
    if let Some(release) = &args.release {
        let part: SuspectKey = release.parse().map_err(|error| eyre!("release: {error}"))?;
        let released = call(client.post(format!("http://{first}/suspects/release/{part}"))).await;
        match released {
            Ok(body) => println!("{body}"),
            Err(error) => {
                eprintln!("samphirectl: {first}: {error}");
                return Ok(ExitKind::Unreachable);
            }
        }
    }
    Ok(show_table(&client, &nodes, &SUSPECTS_TABLE, json).await)
}
