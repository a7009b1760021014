//! Client for the key-value service's HTTP interface: the published Consul KV API, with `GET` and `PUT` on
//! `/v1/kv/KEY` and the parameters `cas`, `index` and `wait`.

use {
    super::{StoreClient, StoreError, StoreValue},
    crate::{
        codec::MAX_MESSAGE_BYTES,
        http::{CLIENT_IDLE_TIMEOUT, ReadError, plain_client, read_body},
    },
    reqwest::{Response, StatusCode},
    serde::{Deserialize, Serialize},
    serde_with::{base64::Base64, serde_as},
    std::time::Duration,
};

/// Timeout of a call to the store, added to the wait time of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of an answer, in bytes: a stored value in base64, with room for its key.
const MAX_BODY_BYTES: usize = 2 * MAX_MESSAGE_BYTES;

/// One row of the response to a read.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KvRow {
    /// Key of the row.
    pub key: String,
    /// Index of the last change of this key.
    pub modify_index: u64,
    /// The stored bytes.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
}

/// Store client over HTTP.
#[derive(Debug, Clone)]
pub struct HttpStore {
    address: String,
    client: reqwest::Client,
}

impl HttpStore {
    /// Creates a client for the store at `address` (host and port).
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            client: plain_client(CLIENT_IDLE_TIMEOUT),
        }
    }

    fn url(&self, key: &str) -> String {
        format!("http://{}/v1/kv/{key}", self.address)
    }

    fn failure(&self, error: &reqwest::Error) -> StoreError {
        if error.is_connect() {
            return StoreError::Unreachable(self.address.clone());
        }
        StoreError::Ambiguous(error.to_string())
    }

    async fn get(&self, url: String, timeout: Duration) -> Result<Option<StoreValue>, StoreError> {
        let answer = self
            .client
            .get(url)
            .timeout(timeout)
            .send()
            .await
            .map_err(|error| self.failure(&error))?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let bytes = self.read_body(answer).await?;
        let rows: Vec<KvRow> =
            serde_json::from_slice(&bytes).map_err(|error| StoreError::Refused(error.to_string()))?;
        Ok(rows.into_iter().next().map(|row| StoreValue {
            data: row.value,
            index: row.modify_index,
        }))
    }

    async fn put(&self, url: String, data: Vec<u8>) -> Result<bool, StoreError> {
        let request = self.client.put(url).timeout(CALL_TIMEOUT).body(data);
        let answer = request.send().await.map_err(|error| self.failure(&error))?;
        let bytes = self.read_body(answer).await?;
        Ok(bytes.trim_ascii() == b"true")
    }

    async fn read_body(&self, answer: Response) -> Result<Vec<u8>, StoreError> {
        let status = answer.status();
        if status.is_server_error() {
            return Err(StoreError::Ambiguous(format!("status {status}")));
        }
        if !status.is_success() {
            return Err(StoreError::Refused(format!("status {status}")));
        }
        match read_body(answer, MAX_BODY_BYTES).await {
            Ok(bytes) => Ok(bytes.to_vec()),
            Err(ReadError::Broken(error)) => Err(self.failure(&error)),
            Err(error) => Err(StoreError::Ambiguous(error.to_string())),
        }
    }
}

impl StoreClient for HttpStore {
    async fn read(&self, key: &str) -> Result<Option<StoreValue>, StoreError> {
        self.get(format!("{}?consistent", self.url(key)), CALL_TIMEOUT)
            .await
    }

    async fn watch(&self, key: &str, index: u64, wait: Duration) -> Result<Option<StoreValue>, StoreError> {
        let url = format!(
            "{}?consistent&index={index}&wait={}ms",
            self.url(key),
            wait.as_millis()
        );
        self.get(url, wait + CALL_TIMEOUT).await
    }

    async fn swap(&self, key: &str, data: Vec<u8>, index: u64) -> Result<bool, StoreError> {
        self.put(format!("{}?cas={index}", self.url(key)), data).await
    }

    async fn write(&self, key: &str, data: Vec<u8>) -> Result<(), StoreError> {
        self.put(self.url(key), data).await.map(drop)
    }
}
