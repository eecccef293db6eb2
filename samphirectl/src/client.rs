//! HTTP client of the nodes' admin interface. No other module contacts nodes.

use std::{fs, net::SocketAddr, time::Duration};

use awc::{Client, Connector, error::SendRequestError};
use eyre::{WrapErr, bail, eyre};
use serde_json::Value;

use crate::cli::CtlArgs;

/// Environment variable with the addresses of nodes.
const NODES_VARIABLE: &str = "SAMPHIREDECK_NODES";
/// Environment variable with the operator key.
const KEY_VARIABLE: &str = "SAMPHIREDECK_OPERATOR_KEY";
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1_024 * 1_024;

/// Response of a node.
#[derive(Debug)]
pub struct NodeResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

impl NodeResponse {
    /// Whether the HTTP status is one of success, 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Error message of the response, or its status if it has none.
    pub fn message(&self) -> String {
        let message = self.body["error"]["message"].as_str();
        message.map_or_else(|| format!("the node answered {}", self.status), str::to_owned)
    }
}

/// Client that uses the first node it can reach.
pub struct NodeClient {
    client: Client,
    nodes: Vec<SocketAddr>,
    key: String,
}

impl NodeClient {
    /// Builds a client from the command line and the environment.
    pub fn from_args(args: &CtlArgs) -> eyre::Result<Self> {
        let default_nodes = std::env::var(NODES_VARIABLE).unwrap_or_default();
        let mut addresses: Vec<&str> = args.node.iter().map(String::as_str).collect();
        if addresses.is_empty() {
            addresses = default_nodes.split_whitespace().collect();
        }
        let mut nodes = Vec::new();
        for text in addresses {
            let parsed = text.parse();
            nodes.push(
                parsed
                    .map_err(|_parse| eyre!("node: {text:?} is not an IP address with a port"))?,
            );
        }
        if nodes.is_empty() {
            bail!("node: give an address with --node or in {NODES_VARIABLE}");
        }
        let key = match &args.key_file {
            Some(path) => fs::read_to_string(path)
                .wrap_err_with(|| format!("key-file: {}", path.display()))?,
            None => std::env::var(KEY_VARIABLE)
                .map_err(|_unset| eyre!("key-file: give one, or set {KEY_VARIABLE}"))?,
        };
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        let client = Client::builder().connector(connector).timeout(CALL_TIMEOUT).finish();
        Ok(Self { client, nodes, key: key.trim().to_owned() })
    }

    /// Sends a `GET` request.
    pub async fn get(&self, path: &str) -> eyre::Result<NodeResponse> {
        self.call(path, None).await
    }

    /// Sends a `POST` request with a JSON body.
    pub async fn post(&self, path: &str, body: &Value) -> eyre::Result<NodeResponse> {
        self.call(path, Some(body)).await
    }

    /// Calls the first node that accepts a connection. A call that was sent is never repeated,
    /// since the node may have acted on it.
    async fn call(&self, path: &str, body: Option<&Value>) -> eyre::Result<NodeResponse> {
        let mut last_error = eyre!("no node is configured");
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
                    let bytes = response.body().limit(MAX_RESPONSE_BYTES).await?;
                    let body = serde_json::from_slice(&bytes).unwrap_or_default();
                    return Ok(NodeResponse { status, body });
                }
                Err(SendRequestError::Connect(error)) => last_error = eyre!("{node}: {error}"),
                Err(error) => bail!("{node}: {error}; the outcome is not known"),
            }
        }
        Err(last_error)
    }
}
