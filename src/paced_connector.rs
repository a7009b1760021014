//! Connector of the HTTP clients.

use {
    crate::{paced_stream::PacedStream, socket_budget::SocketShare},
    hyper::Uri,
    hyper_util::{client::legacy::connect::HttpConnector, rt::TokioIo},
    std::{
        error::Error,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::net::TcpStream,
    tower_service::Service,
};

type PacedConnection = TokioIo<PacedStream<TcpStream>>;
type ConnectError = Box<dyn Error + Send + Sync>;

/// Connector whose connections read at most a share of what a peer sends before others get their turn, and count against a
/// budget if they have one.
#[derive(Debug, Clone)]
pub struct PacedConnector {
    connector: HttpConnector,
    sockets: Option<SocketShare>,
}

impl PacedConnector {
    /// Wraps a connector.
    pub const fn new(connector: HttpConnector, sockets: Option<SocketShare>) -> Self {
        Self { connector, sockets }
    }
}

impl Service<Uri> for PacedConnector {
    type Response = PacedConnection;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<PacedConnection, ConnectError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.connector.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, peer: Uri) -> Self::Future {
        let connecting = self.connector.call(peer);
        let sockets = self.sockets.clone();
        Box::pin(async move {
            let permit = sockets.map(|sockets| sockets.try_take()).transpose()?;
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(PacedStream::new(stream, permit)))
        })
    }
}
