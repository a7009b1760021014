//! HTTP plumbing: listening sockets, servers and clients with every library default set on purpose.

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

/// Connections that wait for `accept`; large enough for a reconnect storm of all peers of a small service.
const LISTEN_BACKLOG: i32 = 1_024;
/// Time a client may take for a request head. The server counts the wait for a next request as well, so it is longer
/// than callers keep an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);
/// Time after which an idle connection of a caller is closed. Longer than any client of ours keeps one, so
/// that the client closes first and no request meets a closing connection.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Largest request head that is read, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Most headers of a request.
pub const MAX_HEADERS: usize = 100;
/// Time an idle connection to a peer or target is kept for repeatable calls.
pub const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time an idle connection to a gate or target is kept for repeatable calls; below what targets keep theirs.
pub const REPEATABLE_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a silent connection is probed, and between two probes: a lost machine is noticed in about three
/// times this.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time an idle connection is trusted with a call that must not be repeated.
pub const NON_REPEATABLE_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that a connection attempt may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Binds a listening socket without Nagle's delay; accepted connections inherit the option.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Serves every request of a listener with one handler until the runtime ends.
pub async fn serve<H: Handler>(listener: TcpListener, handler: H) -> io::Result<()> {
    let router = Router::with_path("{**rest}").goal(handler);
    serve_router(listener, router).await
}

/// Serves the requests of a listener with a router until the runtime ends.
pub async fn serve_router(listener: TcpListener, router: Router) -> io::Result<()> {
    let acceptor = TcpAcceptor::try_from(tokio::net::TcpListener::from_std(listener)?)?;
    let mut fuse = FuseConfig::default();
    fuse.http1_header_timeout = Some(HEAD_TIMEOUT);
    fuse.connection_idle_timeout = Some(SERVER_IDLE_TIMEOUT);
    let mut server = Server::new(acceptor).fuse_config(fuse);
    server
        .http1_mut()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .half_close(false);
    server.try_serve(Service::new(router)).await
}

/// Makes a client that does nothing by itself: no retries, redirects, proxies or decompression.
///
/// # Panics
///
/// If the HTTP library can't build a client without TLS, which it always can.
pub fn plain_client(idle_timeout: Duration) -> reqwest::Client {
    plain_builder(idle_timeout)
        .build()
        .expect("a client without TLS can always be built")
}

/// Starts a client that does nothing by itself, for callers that add to it.
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

/// Answers with a status and a body.
pub fn respond(res: &mut Response, status: StatusCode, body: impl Into<Bytes>) {
    res.status_code(status);
    res.body(ResBody::Once(body.into()));
}
