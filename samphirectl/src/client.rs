//! Client of the nodes: the only module that speaks to them.

use std::{fs, net::SocketAddr, time::Duration};

use awc::{Client, Connector, error::SendRequestError};
use eyre::{WrapErr, bail, eyre};
use serde_json::Value;

use crate::cli::CtlArgs;

/// Variable with the addresses of nodes.
const NODES_VARIABLE: &str = "SAMPHIREDECK_NODES";
/// Variable with the operators' key.
const KEY_VARIABLE: &str = "SAMPHIREDECK_OPERATOR_KEY";
/// Bound on making a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bound on a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer in bytes.
const ANSWER_MAX: usize = 64 * 1_024 * 1_024;

/// Answer of a node.
#[derive(Debug)]
pub struct NodeAnswer {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

impl NodeAnswer {
    /// Whether the node did what it was asked.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// What went wrong, for people.
    pub fn message(&self) -> String {
        let said = self.body["error"]["message"].as_str();
        said.map_or_else(|| format!("the node answered {}", self.status), str::to_owned)
    }
}

/// Client of any of the nodes.
pub struct NodeClient {
    client: Client,
    nodes: Vec<SocketAddr>,
    key: String,
}

impl NodeClient {
    /// Builds a client from the command line and the environment.
    pub fn from_args(args: &CtlArgs) -> eyre::Result<Self> {
        let listed = std::env::var(NODES_VARIABLE).unwrap_or_default();
        let mut words: Vec<&str> = args.node.iter().map(String::as_str).collect();
        if words.is_empty() {
            words = listed.split_whitespace().collect();
        }
        let mut nodes = Vec::new();
        for word in words {
            let parsed = word.parse();
            nodes.push(
                parsed.map_err(|_parse| eyre!("node: {word:?} is no IP number with a port"))?,
            );
        }
        if nodes.is_empty() {
            bail!("node: name one with --node or in {NODES_VARIABLE}");
        }
        let key = match &args.key_file {
            Some(path) => fs::read_to_string(path)
                .wrap_err_with(|| format!("key-file: {}", path.display()))?,
            None => std::env::var(KEY_VARIABLE)
                .map_err(|_unset| eyre!("key-file: name one, or set {KEY_VARIABLE}"))?,
        };
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        let client = Client::builder().connector(connector).timeout(CALL_TIMEOUT).finish();
        Ok(Self { client, nodes, key: key.trim().to_owned() })
    }

    /// Asks a question.
    pub async fn get(&self, path: &str) -> eyre::Result<NodeAnswer> {
        self.call(path, None).await
    }

    /// Gives an order.
    pub async fn post(&self, path: &str, body: &Value) -> eyre::Result<NodeAnswer> {
        self.call(path, Some(body)).await
    }

    /// Calls the first node that can be reached. A call that reached a node is never repeated.
    async fn call(&self, path: &str, body: Option<&Value>) -> eyre::Result<NodeAnswer> {
        let mut last = eyre!("no node");
        for node in &self.nodes {
            let url = format!("http://{node}{path}");
            let bearer = ("authorization", format!("Bearer {}", self.key));
            let sent = match body {
                Some(body) => self.client.post(url).insert_header(bearer).send_json(body).await,
                None => self.client.get(url).insert_header(bearer).send().await,
            };
            match sent {
                Ok(mut response) => {
                    let status = response.status().as_u16();
                    let bytes = response.body().limit(ANSWER_MAX).await?;
                    let body = serde_json::from_slice(&bytes).unwrap_or_default();
                    return Ok(NodeAnswer { status, body });
                }
                Err(SendRequestError::Connect(error)) => last = eyre!("{node}: {error}"),
                Err(error) => bail!("{node}: {error}; the outcome is not known"),
            }
        }
        Err(last)
    }
}
