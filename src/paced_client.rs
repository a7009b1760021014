//! HTTP client of the control thread, which a peer that sends without pause does not keep from its other work.

use {
    crate::{http::CONNECT_TIMEOUT, paced_connector::PacedConnector},
    hyper_util::{
        client::legacy::{Client, Error, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    reqwest::{Body, IntoUrl, Method, RequestBuilder, Response},
    std::time::Duration,
    thiserror::Error as ThisError,
};

/// Client whose connections read at most a share of what a peer sends before others get their turn. It takes no action of
/// its own, such as redirects.
#[derive(Debug, Clone)]
pub struct PacedClient {
    /// Builds requests.
    builder: reqwest::Client,
    sender: Client<PacedConnector, Body>,
}

/// Error of a request that got no answer.
#[derive(Debug, ThisError)]
pub enum RequestError {
    /// The request can't be built.
    #[error(transparent)]
    Malformed(#[from] reqwest::Error),
    /// The connection failed.
    #[error(transparent)]
    Failed(#[from] Error),
}

impl RequestError {
    /// Returns whether no connection was made, so that nothing was sent.
    pub fn is_connect(&self) -> bool {
        match self {
            Self::Malformed(_) => false,
            Self::Failed(error) => error.is_connect(),
        }
    }
}

impl PacedClient {
    /// Creates a client that closes idle connections after a time, and with `keepalive` detects a lost machine after about
    /// three such intervals.
    pub fn new(idle_timeout: Duration, keepalive: Option<Duration>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(keepalive);
        connector.set_keepalive_interval(keepalive);
        connector.set_keepalive_retries(keepalive.map(|_| 2));
        connector.set_tcp_user_timeout(keepalive.map(|interval| 2 * interval));
        let sender = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .build(PacedConnector::new(connector, None));
        Self {
            builder: crate::http::plain_client(idle_timeout),
            sender,
        }
    }

    /// Begins a GET request.
    pub fn get(&self, url: impl IntoUrl) -> RequestBuilder {
        self.builder.request(Method::GET, url)
    }

    /// Begins a POST request.
    pub fn post(&self, url: impl IntoUrl) -> RequestBuilder {
        self.builder.request(Method::POST, url)
    }

    /// Sends a request, and returns the answer with its body still to be read.
    pub async fn send(&self, request: RequestBuilder) -> Result<Response, RequestError> {
        let request = request.build()?.try_into()?;
        let answer = self.sender.request(request).await?;
        Ok(answer.map(Body::wrap).into())
    }
}
