//! Between controllers: gRPC by `tonic`, over hyper's HTTP/2 on our own event loop.
//!
//! The mesh says who reaches the state service, carries users' requests to a node that can answer
//! them better, and carries promises in an outage (see [`crate::entitlement`]). Without it the
//! rules hold all the same.

use crate::http::{Method, Request, Response};
use crate::ids::JobId;
use crate::node::{Leading, Node};
use crate::runtime::{self, Cancel, TcpListener, TcpStream};
use crate::settings::Peer;
use crate::time::Micros;
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use hyper::body::Incoming;
use proto::mesh_client::MeshClient;
use proto::mesh_server::{Mesh, MeshServer};
use proto::{Greeting, News, StatusAnswer, StatusRequest, UserAnswer, UserRequest};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use tonic::Status;
use tracing::{debug, warn};

/// Generated from `proto/mesh.proto`.
#[allow(clippy::all, missing_docs)]
pub mod proto {
    tonic::include_proto!("hopyoke.mesh");
}

/// Runs hyper's routines on our executor.
#[derive(Clone, Copy)]
struct LocalExec;

impl<F: Future<Output: 'static> + 'static> hyper::rt::Executor<F> for LocalExec {
    fn execute(&self, future: F) {
        runtime::spawn(async move {
            future.await;
        });
    }
}

/// A client's channel: one HTTP/2 connection.
struct Channel(hyper::client::conn::http2::SendRequest<tonic::body::Body>);

impl tower_service::Service<http::Request<tonic::body::Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = std::pin::Pin<Box<dyn Future<Output = Result<Self::Response, hyper::Error>>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.0.poll_ready(cx)
    }
    fn call(&mut self, mut request: http::Request<tonic::body::Body>) -> Self::Future {
        // HTTP/2 wants an absolute URI; the connection is the address.
        let path = request.uri().path_and_query().map_or("/", |p| p.as_str()).to_owned();
        if let Ok(uri) = format!("http://mesh{path}").parse() {
            *request.uri_mut() = uri;
        }
        Box::pin(self.0.send_request(request))
    }
}

const CONNECT: Micros = Micros::from_millis(700);
const GREET: Micros = Micros::from_millis(900);
/// A greeting or its lack counts for this long.
const FRESH: Micros = Micros::from_millis(2_500);
/// Most of the window in which a user waits for an answer to a poll is kept for our own try.
pub const ASK_LEADER: Micros = Micros::from_millis(500);
pub const ASK_PEER: Micros = Micros::from_millis(1_800);

async fn connect(addr: SocketAddr, cancel: &Cancel) -> io::Result<Channel> {
    let stream = TcpStream::connect(addr, CONNECT).await?;
    let (sender, connection) =
        hyper::client::conn::http2::handshake(LocalExec, stream).await.map_err(io::Error::other)?;
    runtime::spawn_until(cancel.clone(), async move {
        let _ = connection.await;
    });
    Ok(Channel(sender))
}

/// What we know of one peer.
pub struct PeerLink {
    pub peer: Peer,
    channel: RefCell<Option<(MeshClient<Channel>, Cancel)>>,
    seen: Cell<Micros>,
    state_ok: Cell<bool>,
    token: Cell<u64>,
}

impl PeerLink {
    fn new(peer: Peer) -> PeerLink {
        PeerLink {
            peer,
            channel: RefCell::default(),
            seen: Cell::new(Micros::ZERO),
            state_ok: Cell::new(false),
            token: Cell::new(0),
        }
    }

    fn fresh(&self) -> bool {
        self.seen.get() > Micros::ZERO && runtime::now() < self.seen.get() + FRESH
    }

    /// It has said of late that the state service answers it.
    pub fn reaches_state(&self) -> bool {
        self.fresh() && self.state_ok.get()
    }

    pub fn note(&self, greeting: &Greeting) {
        self.seen.set(runtime::now());
        self.state_ok.set(greeting.state_ok);
        self.token.set(greeting.token);
    }

    async fn client(&self) -> io::Result<MeshClient<Channel>> {
        if let Some((client, _)) = &*self.channel.borrow() {
            return Ok(client.clone());
        }
        let cancel = Cancel::new();
        let client = MeshClient::new(connect(self.peer.addr, &cancel).await?);
        *self.channel.borrow_mut() = Some((client.clone(), cancel));
        Ok(client)
    }

    fn reset(&self) {
        if let Some((_, cancel)) = self.channel.borrow_mut().take() {
            cancel.cancel();
        }
    }

    /// Makes one call within `limit`; a failed connection is given up and made anew next time.
    async fn call<T, F, G>(&self, limit: Micros, f: F) -> Option<T>
    where
        F: FnOnce(MeshClient<Channel>) -> G,
        G: Future<Output = Result<tonic::Response<T>, Status>>,
    {
        let result = runtime::timeout(limit, async {
            let client = self.client().await.map_err(|e| Status::unavailable(e.to_string()))?;
            f(client).await
        })
        .await;
        match result {
            Ok(Ok(answer)) => Some(answer.into_inner()),
            Ok(Err(e)) => {
                debug!(peer = %self.peer.node, error = %e, "mesh call failed");
                self.reset();
                None
            }
            Err(_) => {
                self.reset();
                None
            }
        }
    }

    /// Tells the peer that a job was accepted or cancelled. Only a hint: its watch tells it too.
    pub async fn nudge(&self, node: &Node, job: &JobId) {
        if self.fresh() {
            let news = News { node: node.settings.node.clone(), job: job.to_string() };
            let _ = self.call(GREET, |mut c| async move { c.nudge(news).await }).await;
        }
    }

    /// Has the peer answer a user's request.
    pub async fn forward(&self, node: &Node, request: &Request, limit: Micros) -> Option<Response> {
        if !self.fresh() {
            return None;
        }
        let message = UserRequest {
            node: node.settings.node.clone(),
            method: request.method.as_str().to_owned(),
            path: request.path.clone(),
            body: request.body.clone(),
        };
        let answer = self.call(limit, |mut c| async move { c.forward(message).await }).await?;
        let mut response = Response::empty(u16::try_from(answer.status).ok()?);
        response.body = answer.body;
        response.retry_after_s = (answer.retry_after_s > 0).then_some(answer.retry_after_s);
        // The peer could not decide either.
        (response.status != 503).then_some(response)
    }
}

impl Clone for Channel {
    fn clone(&self) -> Channel {
        Channel(self.0.clone())
    }
}

/// All peers.
pub struct Links(pub Vec<PeerLink>);

impl Links {
    pub fn new(peers: &[Peer]) -> Links {
        Links(peers.iter().cloned().map(PeerLink::new).collect())
    }

    pub fn by_name(&self, name: &str) -> Option<&PeerLink> {
        self.0.iter().find(|l| l.peer.node == name)
    }

    pub fn any_reaches_state(&self) -> Option<&PeerLink> {
        self.0.iter().find(|l| l.reaches_state())
    }
}

/// `promise`: the peer asked, so it may rely on a promise from now on. One that we sent unasked
/// could arrive late.
fn greeting(node: &Node, promise: bool) -> Greeting {
    let state_ok = node.state.answers();
    let span = if promise && !state_ok { node.promises.promise() } else { None };
    Greeting {
        process: node.promises.process,
        promise_us: span.map_or(0, |s| s.0),
        cancelled: if span.is_some() { node.promises.cancelled() } else { Vec::new() },
        node: node.settings.node.clone(),
        state_ok,
        token: node.leading().filter(|l| l.entitled()).map_or(0, |l| l.core.borrow().token.0),
    }
}

/// Greets one peer every second or so.
pub async fn greet(node: Rc<Node>, peer: usize) {
    loop {
        let mine = greeting(&node, false);
        let link = &node.links.0[peer];
        let sent = runtime::now();
        if let Some(answer) = link.call(GREET, |mut c| async move { c.greet(mine).await }).await {
            link.note(&answer);
            if let Some(leading) = node.leading() {
                heed(&leading, peer, sent, &answer);
            }
        }
        // Promises are short: they are asked for again well before they end.
        let pause = if node.state.answers() { 1000 } else { 600 };
        runtime::sleep(Micros::from_millis(pause)).await;
    }
}

/// A leader takes what a peer answered into account.
fn heed(leading: &Leading, peer: usize, sent: Micros, answer: &Greeting) {
    let span = (answer.promise_us > 0).then_some(Micros(answer.promise_us));
    leading.right.borrow_mut().answered(peer, answer.process, sent, span, runtime::now());
    if answer.cancelled.is_empty() {
        return;
    }
    let mut core = leading.core.borrow_mut();
    for id in answer.cancelled.iter().filter_map(|id| JobId::parse(id)) {
        if core.jobs.contains_key(&id) {
            core.job_dropped(&id);
        }
    }
    leading.bell.ring();
}

/// A request that reached us over the mesh, with where its answer goes.
enum Call {
    Greet(Greeting, oneshot::Sender<Greeting>),
    Nudge(News, oneshot::Sender<Greeting>),
    Forward(UserRequest, oneshot::Sender<UserAnswer>),
    Status(oneshot::Sender<String>),
}

/// tonic wants handlers that can be sent between threads; ours hand each call to a local routine.
#[derive(Clone)]
struct Door(mpsc::Sender<Call>);

const MOST_WAITING: usize = 64;

impl Door {
    async fn pass<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> Call) -> Result<tonic::Response<T>, Status> {
        let (reply, answer) = oneshot::channel();
        let mut door = self.0.clone();
        door.try_send(make(reply)).map_err(|_| Status::resource_exhausted("too many calls waiting"))?;
        answer.await.map(tonic::Response::new).map_err(|_| Status::permission_denied("refused"))
    }
}

#[tonic::async_trait]
impl Mesh for Door {
    async fn greet(&self, r: tonic::Request<Greeting>) -> Result<tonic::Response<Greeting>, Status> {
        self.pass(|reply| Call::Greet(r.into_inner(), reply)).await
    }
    async fn nudge(&self, r: tonic::Request<News>) -> Result<tonic::Response<Greeting>, Status> {
        self.pass(|reply| Call::Nudge(r.into_inner(), reply)).await
    }
    async fn forward(&self, r: tonic::Request<UserRequest>) -> Result<tonic::Response<UserAnswer>, Status> {
        self.pass(|reply| Call::Forward(r.into_inner(), reply)).await
    }
    async fn status(&self, _: tonic::Request<StatusRequest>) -> Result<tonic::Response<StatusAnswer>, Status> {
        let text = self.pass(Call::Status).await?.into_inner();
        Ok(tonic::Response::new(StatusAnswer { text }))
    }
}

struct HyperService(MeshServer<Door>);

impl hyper::service::Service<http::Request<Incoming>> for HyperService {
    type Response = http::Response<tonic::body::Body>;
    type Error = std::convert::Infallible;
    type Future = std::pin::Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn call(&self, request: http::Request<Incoming>) -> Self::Future {
        tower_service::Service::call(&mut self.0.clone(), request)
    }
}

const MOST_CONNECTIONS: usize = 32;

/// Takes calls from peers and operators.
pub async fn serve(node: Rc<Node>) {
    let addr = node.settings.mesh_listen;
    let listener = match TcpListener::bind(addr) {
        Ok(l) => l,
        Err(e) => {
            // The mesh is not needed to keep the rules or to serve.
            warn!(error = %e, "mesh_addr {addr}: cannot listen");
            return;
        }
    };
    let (door, mut calls) = mpsc::channel(MOST_WAITING);
    let local = node.clone();
    runtime::spawn_until(node.cancel.clone(), async move {
        while let Some(call) = calls.next().await {
            let node = local.clone();
            runtime::spawn_until(node.cancel.clone(), async move { answer(&node, call).await });
        }
    });
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok(stream) = listener.accept().await else {
            runtime::sleep(Micros::from_millis(100)).await;
            continue;
        };
        if open.get() >= MOST_CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (open, door) = (open.clone(), door.clone());
        runtime::spawn_until(node.cancel.clone(), async move {
            let connection = hyper::server::conn::http2::Builder::new(LocalExec)
                .max_concurrent_streams(32)
                .max_header_list_size(8 * 1024)
                .serve_connection(stream, HyperService(MeshServer::new(Door(door))));
            // A connection that a cut left behind must not stay for ever: peers make a new one.
            let _ = runtime::timeout(Micros::from_secs(600), connection).await;
            open.set(open.get() - 1);
        });
    }
}

async fn answer(node: &Rc<Node>, call: Call) {
    match call {
        Call::Greet(greeting, reply) => {
            // Unknown nodes get no answer.
            let Some(link) = node.links.by_name(&greeting.node) else { return };
            link.note(&greeting);
            let _ = reply.send(self::greeting(node, true));
        }
        Call::Nudge(news, reply) => {
            if node.links.by_name(&news.node).is_none() {
                return;
            }
            let _ = reply.send(self::greeting(node, false));
            if let (Some(id), Some(leading)) = (JobId::parse(&news.job), node.leading()) {
                crate::lead::read_news(node, &leading, id).await;
            }
        }
        Call::Forward(message, reply) => {
            if node.links.by_name(&message.node).is_none() {
                return;
            }
            let method = match message.method.as_str() {
                "GET" => Method::Get,
                "POST" => Method::Post,
                _ => return,
            };
            let request = Request::new(method, message.path, message.body);
            let Some(rest) = request.path.strip_prefix("/api/jobs").map(str::to_owned) else { return };
            let r = crate::api::own_answer(node, &rest, &request).await;
            let retry_after_s = r.retry_after_s.unwrap_or(0);
            let _ = reply.send(UserAnswer { status: u32::from(r.status), body: r.body, retry_after_s });
        }
        Call::Status(reply) => {
            let _ = reply.send(crate::status::text(node));
        }
    }
}

/// Asks a controller for its status, for operators.
pub async fn ask_status(addr: SocketAddr) -> io::Result<String> {
    let cancel = Cancel::new();
    let mut client = MeshClient::new(connect(addr, &cancel).await?);
    let answer = runtime::timeout(Micros::from_secs(3), client.status(StatusRequest {}))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    answer.map(|a| a.into_inner().text).map_err(io::Error::other)
}
