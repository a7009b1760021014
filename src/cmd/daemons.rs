//! Asking daemons over their operators' listeners.

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

/// Daemons that are asked at once.
const ASKED_AT_ONCE: usize = 64;
/// Time that a daemon is given to answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(3);

/// Asks a daemon for JSON.
async fn fetch<T: DeserializeOwned>(address: &str, path: &str) -> Result<T, CmdError> {
    let failure = |text: String| CmdError::Daemon {
        address: address.to_owned(),
        text,
    };
    let client = plain_client(CLIENT_IDLE_TIMEOUT);
    let answer = client
        .get(format!("http://{address}{path}"))
        .timeout(ASK_TIMEOUT)
        .send()
        .await;
    let bytes = answer.map_err(|error| failure(error.to_string()))?.bytes().await;
    let bytes = bytes.map_err(|error| failure(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| failure(error.to_string()))
}

/// Asks many daemons at once and returns each with its answer, in no particular order.
pub async fn ask_all<T, F>(
    daemons: Vec<(Arc<str>, String)>,
    ask: impl Fn(String) -> F,
) -> Vec<((Arc<str>, String), Result<T, CmdError>)>
where
    F: Future<Output = Result<T, CmdError>>,
{
    let asked = daemons.into_iter().map(|daemon| {
        let answer = ask(daemon.1.clone());
        async { (daemon, answer.await) }
    });
    stream::iter(asked)
        .buffer_unordered(ASKED_AT_ONCE)
        .collect()
        .await
}

/// Asks a daemon for its status.
pub async fn fetch_status(address: String) -> Result<DaemonStatus, CmdError> {
    fetch(&address, "/status").await
}

/// Asks a daemon for its events.
pub async fn fetch_timeline(address: String) -> Result<Vec<TimelineEvent>, CmdError> {
    fetch(&address, "/timeline").await
}

/// Tells a daemon to drain.
pub async fn send_drain(address: &str) -> Result<(), CmdError> {
    let client = plain_client(CLIENT_IDLE_TIMEOUT);
    let answer = client
        .post(format!("http://{address}/drain"))
        .timeout(ASK_TIMEOUT)
        .send()
        .await;
    let answer = answer.and_then(reqwest::Response::error_for_status);
    answer.map(drop).map_err(|error| CmdError::Daemon {
        address: address.to_owned(),
        text: error.to_string(),
    })
}

/// Returns name and operators' address of every daemon that one daemon knows to be present.
pub async fn all_operators(daemon: &str) -> Result<Vec<(Arc<str>, String)>, CmdError> {
    let status = fetch_status(daemon.to_owned()).await?;
    let present = status.members.iter().filter(|member| member.status.is_present());
    let all = std::iter::once(&status.own).chain(present);
    Ok(all
        .map(|member| (Arc::clone(&member.name), member.operators.to_string()))
        .collect())
}
