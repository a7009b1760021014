//! Listening sockets, HTTP servers and HTTP clients. Options of the libraries that matter are set explicitly.

use {
    bytes::Bytes,
    salvo::{
        Handler, Response, Router, Server, Service,
        conn::tcp::TcpAcceptor,
        fuse::FuseConfig,
        http::{ResBody, StatusCode},
    },
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        time::Duration,
    },
};

/// Maximum number of connections waiting for `accept`; enough if all peers of a small service reconnect together.
const LISTEN_BACKLOG: i32 = 1_024;
/// Timeout for receiving a request head. The server also applies it to the wait for the next request, so it is longer
/// than callers keep an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);
/// Time after which an idle connection of a caller is closed. All clients of this crate close theirs earlier, so no
/// request is sent on a connection that the server is closing.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum size of a request head, in bytes.
pub const MAX_REQUEST_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of headers of a request.
pub const MAX_HEADERS: usize = 100;
/// Time for which clients keep an idle connection, unless they set another.
pub const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which an idle connection to a gate or target is kept for repeatable calls; shorter than targets keep
/// theirs.
pub const REPEATABLE_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time before the first TCP keepalive probe and interval between probes; a lost machine is detected after about
/// three intervals.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an idle connection is reused for calls that must not be repeated; an older one may be closing.
pub const NON_REPEATABLE_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Binds a listening socket with `TCP_NODELAY`, which accepted connections inherit.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Serves all requests of a listener with one handler until the runtime stops.
pub async fn serve<H: Handler>(listener: TcpListener, handler: H) -> io::Result<()> {
    let router = Router::with_path("{**rest}").goal(handler);
    serve_router(listener, router).await
}

/// Serves the requests of a listener with a router until the runtime stops.
pub async fn serve_router(listener: TcpListener, router: Router) -> io::Result<()> {
    let acceptor = TcpAcceptor::try_from(tokio::net::TcpListener::from_std(listener)?)?;
    let mut fuse = FuseConfig::default();
    fuse.http1_header_timeout = Some(HEAD_TIMEOUT);
    fuse.connection_idle_timeout = Some(SERVER_IDLE_TIMEOUT);
    let mut server = Server::new(acceptor).fuse_config(fuse);
    server
        .http1_mut()
        .max_buf_size(MAX_REQUEST_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .half_close(false);
    server.try_serve(Service::new(router)).await
}

/// Creates a client that takes no action of its own: no retries, redirects, proxies or decompression.
///
/// # Panics
///
/// If the HTTP library can't build a client without TLS, which it always can.
pub fn plain_client(idle_timeout: Duration) -> reqwest::Client {
    plain_builder(idle_timeout)
        .build()
        .expect("a client without TLS can always be built")
}

/// Returns the builder behind [`plain_client`], for further options.
pub fn plain_builder(idle_timeout: Duration) -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .referer(false)
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(idle_timeout)
}

/// Sets the status and the body of a response.
pub fn respond(res: &mut Response, status: StatusCode, body: impl Into<Bytes>) {
    res.status_code(status);
    res.body(ResBody::Once(body.into()));
}
