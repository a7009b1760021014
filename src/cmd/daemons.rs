//! Queries to daemons over their operators' listeners.

use {
    super::error::CmdError,
    crate::{
        daemon::DaemonStatus,
        http::{CLIENT_IDLE_TIMEOUT, plain_client},
        timeline::TimelineEvent,
    },
    futures_util::{StreamExt, stream},
    serde::de::DeserializeOwned,
    std::{sync::Arc, time::Duration},
};

/// Number of daemons that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 64;
/// Timeout of a query to a daemon.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Gets a path from a daemon and decodes the JSON response.
async fn fetch<T: DeserializeOwned>(address: &str, path: &str) -> Result<T, CmdError> {
    let failure = |text: String| CmdError::Daemon {
        address: address.to_owned(),
        text,
    };
    let client = plain_client(CLIENT_IDLE_TIMEOUT);
    let answer = client
        .get(format!("http://{address}{path}"))
        .timeout(QUERY_TIMEOUT)
        .send()
        .await;
    let bytes = answer.map_err(|error| failure(error.to_string()))?.bytes().await;
    let bytes = bytes.map_err(|error| failure(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| failure(error.to_string()))
}

/// Queries daemons concurrently and returns each with its answer, in no particular order.
pub async fn query_all<T, F>(
    daemons: Vec<(Arc<str>, String)>,
    query: impl Fn(String) -> F,
) -> Vec<((Arc<str>, String), Result<T, CmdError>)>
where
    F: Future<Output = Result<T, CmdError>>,
{
    let queries = daemons.into_iter().map(|daemon| {
        let answer = query(daemon.1.clone());
        async { (daemon, answer.await) }
    });
    stream::iter(queries)
        .buffer_unordered(MAX_CONCURRENT_QUERIES)
        .collect()
        .await
}

/// Gets the status of a daemon.
pub async fn fetch_status(address: String) -> Result<DaemonStatus, CmdError> {
    fetch(&address, "/status").await
}

/// Gets the recorded events of a daemon.
pub async fn fetch_timeline(address: String) -> Result<Vec<TimelineEvent>, CmdError> {
    fetch(&address, "/timeline").await
}

/// Requests a daemon to drain.
pub async fn send_drain(address: &str) -> Result<(), CmdError> {
    let client = plain_client(CLIENT_IDLE_TIMEOUT);
    let answer = client
        .post(format!("http://{address}/drain"))
        .timeout(QUERY_TIMEOUT)
        .send()
        .await;
    let answer = answer.and_then(reqwest::Response::error_for_status);
    answer.map(drop).map_err(|error| CmdError::Daemon {
        address: address.to_owned(),
        text: error.to_string(),
    })
}

/// Returns the name and operators' address of a daemon and of every member that it lists as present.
pub async fn operator_addresses(daemon: &str) -> Result<Vec<(Arc<str>, String)>, CmdError> {
    let status = fetch_status(daemon.to_owned()).await?;
    let present = status.members.iter().filter(|member| member.status.is_present());
    let all = std::iter::once(&status.own).chain(present);
    Ok(all
        .map(|member| (Arc::clone(&member.name), member.operators.to_string()))
        .collect())
}
