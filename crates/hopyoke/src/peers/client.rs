//! Calls to the other controllers: gRPC by `tonic`, over hyper's HTTP/2 on our own event loop.

use hopyoke_event_loop::http::{Request, Response};
use hopyoke_event_loop::{self as runtime, CancellationToken, TcpStream};
use hopyoke_settings::Peer;
use hopyoke_types::{JobId, Micros};
use hyper::body::Incoming;
use proto::mesh_client::MeshClient;
use proto::{
    FlowAnswer, FlowRequest, Greeting, HeartbeatBatch, HistoryAnswer, HistoryRequest, JobChange,
    StaffedAnswer, StaffedRequest, StatusRequest, UserRequest, WhenAnswer, WhenRequest,
};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};
use tonic::Status;
use tracing::debug;

/// Generated from `proto/mesh.proto`.
#[allow(clippy::all, missing_docs)]
pub mod proto {
    tonic::include_proto!("hopyoke.mesh");
}

/// Runs hyper's routines on our executor.
#[derive(Clone, Copy)]
pub(crate) struct LocalExec;

impl<F: Future<Output: 'static> + 'static> hyper::rt::Executor<F> for LocalExec {
    fn execute(&self, future: F) {
        runtime::spawn(async move {
            future.await;
        });
    }
}

/// A client's channel: one HTTP/2 connection.
pub(crate) struct Channel(hyper::client::conn::http2::SendRequest<tonic::body::Body>);

impl tower_service::Service<http::Request<tonic::body::Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = std::pin::Pin<Box<dyn Future<Output = Result<Self::Response, hyper::Error>>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.0.poll_ready(cx)
    }
    fn call(&mut self, mut request: http::Request<tonic::body::Body>) -> Self::Future {
        // HTTP/2 wants an absolute URI; the connection is the address.
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned();
        if let Ok(uri) = format!("http://mesh{path}").parse() {
            *request.uri_mut() = uri;
        }
        Box::pin(self.0.send_request(request))
    }
}

const CONNECT: Micros = Micros::from_millis(700);
pub(crate) const GREET: Micros = Micros::from_millis(900);
/// A worker gives an answer up after 4 s.
const CARRY: Micros = Micros::from_millis(2_500);
/// Writing a plan's pages takes its time.
const FLOW: Micros = Micros::from_secs(20);
/// A greeting or its lack counts for this long.
const FRESH: Micros = Micros::from_millis(2_500);
/// Most of the window in which a user waits for an answer to a poll is kept for our own try.
pub const ASK_LEADER: Micros = Micros::from_millis(500);
pub const ASK_PEER: Micros = Micros::from_millis(1_800);

async fn connect(addr: SocketAddr, cancel: &CancellationToken) -> io::Result<Channel> {
    let stream = TcpStream::connect(addr, CONNECT).await?;
    let (sender, connection) = hyper::client::conn::http2::handshake(LocalExec, stream)
        .await
        .map_err(io::Error::other)?;
    runtime::spawn_until(cancel.clone(), async move {
        let _ = connection.await;
    });
    Ok(Channel(sender))
}

/// What we know of one peer.
pub struct PeerClient {
    pub peer: Peer,
    channel: RefCell<Option<(MeshClient<Channel>, CancellationToken)>>,
    seen: Cell<Micros>,
    state_ok: Cell<bool>,
    token: Cell<u64>,
    /// The peer's process, and the one before it.
    process: Cell<u64>,
    former: Cell<u64>,
    /// Its messages that were not heeded: of a former process, or of another node at its address.
    stale: Cell<u64>,
    /// When a call was last answered, and how many users' requests are on their way there.
    answered: Cell<Micros>,
    carried: Cell<usize>,
}

/// Counts a request that is carried to a peer for as long as it is.
struct Carried<'a>(&'a Cell<usize>);

impl Drop for Carried<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Users' requests carried to one peer at once. Fewer than the streams that it takes: what waits for a
/// stream until it is given up costs both sides as much as an answer. (Guards against a peer that is
/// behind being buried under requests that nobody waits for any more.)
const MOST_CARRIED: usize = 24;

impl PeerClient {
    fn new(peer: Peer) -> PeerClient {
        PeerClient {
            peer,
            channel: RefCell::default(),
            seen: Cell::new(Micros::ZERO),
            state_ok: Cell::new(false),
            token: Cell::new(0),
            process: Cell::new(0),
            former: Cell::new(0),
            stale: Cell::new(0),
            answered: Cell::new(Micros::ZERO),
            carried: Cell::new(0),
        }
    }

    fn fresh(&self) -> bool {
        self.seen.get() > Micros::ZERO && runtime::now() < self.seen.get() + FRESH
    }

    /// It has said of late that the state service answers it.
    pub fn reaches_state(&self) -> bool {
        self.fresh() && self.state_ok.get()
    }

    /// It has said of late that it leads, its records read.
    pub fn leads(&self) -> bool {
        self.fresh() && self.token.get() > 0
    }

    /// No more users' requests can be carried to it now.
    pub fn is_busy(&self) -> bool {
        self.carried.get() >= MOST_CARRIED
    }

    /// Takes in what it said of itself; false: that is of a process before the one that we know, or of another
    /// node, and counts for nothing. (A greeting that a cut held back arrives long after its process ended.) What
    /// `answers` a call of ours is of a process that lives, whatever arrived before: so a late greeting of a process
    /// that we had not known is set right within a second.
    pub fn note(&self, greeting: &Greeting, answers: bool) -> bool {
        let former = !answers && greeting.process == self.former.get();
        if greeting.node != self.peer.node || former {
            self.stale.set(self.stale.get() + 1);
            debug!(peer = %self.peer.node, said = %greeting.node, "a stale greeting");
            return false;
        }
        if greeting.process != self.process.get() {
            self.former.set(self.process.replace(greeting.process));
        }
        self.seen.set(runtime::now());
        self.state_ok.set(greeting.state_ok);
        self.token.set(greeting.token);
        true
    }

    /// Messages that were not heeded.
    pub fn stale(&self) -> u64 {
        self.stale.get()
    }

    async fn client(&self) -> io::Result<MeshClient<Channel>> {
        if let Some((client, _)) = &*self.channel.borrow() {
            return Ok(client.clone());
        }
        let cancel = CancellationToken::new();
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
    pub(crate) async fn call<T, F, G>(&self, limit: Micros, f: F) -> Option<T>
    where
        F: FnOnce(MeshClient<Channel>) -> G,
        G: Future<Output = Result<tonic::Response<T>, Status>>,
    {
        let result = runtime::timeout(limit, async {
            let client = self
                .client()
                .await
                .map_err(|e| Status::unavailable(e.to_string()))?;
            f(client).await
        })
        .await;
        match result {
            Ok(Ok(answer)) => {
                self.answered.set(runtime::now());
                Some(answer.into_inner())
            }
            Ok(Err(e)) => {
                debug!(peer = %self.peer.node, error = %e, "mesh call failed");
                self.reset();
                None
            }
            Err(_) => {
                // One late answer says little: other calls share the connection.
                if runtime::now() > self.answered.get() + FRESH {
                    self.reset();
                }
                None
            }
        }
    }

    /// Tells the peer that a job was accepted or cancelled. Only a hint: its watch tells it too.
    pub async fn notify(&self, from: &str, job: &JobId) {
        if self.fresh() {
            let news = JobChange {
                node: from.to_owned(),
                job: job.to_string(),
            };
            let _ = self
                .call(GREET, |mut c| async move { c.notify(news).await })
                .await;
        }
    }

    /// Carries workers' reports to the leader; the answers in the same order.
    pub async fn relay_heartbeats(
        &self,
        from: &str,
        heartbeats: Vec<Vec<u8>>,
    ) -> Option<Vec<Vec<u8>>> {
        let n = heartbeats.len();
        let message = HeartbeatBatch {
            node: from.to_owned(),
            heartbeats,
        };
        let answer = self
            .call(CARRY, |mut c| async move { c.carry(message).await })
            .await?;
        (answer.answers.len() == n).then_some(answer.answers)
    }

    /// Has the peer answer a user's request.
    pub async fn forward(&self, from: &str, request: &Request, limit: Micros) -> Option<Response> {
        if !self.fresh() || self.is_busy() {
            return None;
        }
        self.carried.set(self.carried.get() + 1);
        let _carried = Carried(&self.carried);
        let message = UserRequest {
            node: from.to_owned(),
            method: request.method.as_str().to_owned(),
            path: request.path.clone(),
            body: request.body.clone(),
        };
        let answer = self
            .call(limit, |mut c| async move { c.forward(message).await })
            .await?;
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

/// All peers, and how many messages came of nodes that are none.
pub struct PeerClients(pub Vec<PeerClient>, Cell<u64>);

impl PeerClients {
    pub fn new(peers: &[Peer]) -> PeerClients {
        PeerClients(
            peers.iter().cloned().map(PeerClient::new).collect(),
            Cell::new(0),
        )
    }

    /// Counts a message of an unknown node.
    pub fn refuse(&self) {
        self.1.set(self.1.get() + 1);
    }

    /// Messages of unknown nodes so far.
    pub fn refused(&self) -> u64 {
        self.1.get()
    }

    pub fn by_name(&self, name: &str) -> Option<&PeerClient> {
        self.0.iter().find(|l| l.peer.node == name)
    }

    /// A peer's place in the list.
    pub fn place_of(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|l| l.peer.node == name)
    }

    pub fn any_reaches_state(&self) -> Option<&PeerClient> {
        self.0.iter().find(|l| l.reaches_state())
    }
}

/// Makes one call for an operator.
async fn ask<T, F, G>(addr: SocketAddr, f: F) -> io::Result<T>
where
    F: FnOnce(MeshClient<Channel>) -> G,
    G: Future<Output = Result<tonic::Response<T>, Status>>,
{
    ask_within(addr, Micros::from_secs(3), f).await
}

async fn ask_within<T, F, G>(addr: SocketAddr, limit: Micros, f: F) -> io::Result<T>
where
    F: FnOnce(MeshClient<Channel>) -> G,
    G: Future<Output = Result<tonic::Response<T>, Status>>,
{
    let cancel = CancellationToken::new();
    let client = MeshClient::new(connect(addr, &cancel).await?);
    let answer = runtime::timeout(limit, f(client))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    answer
        .map(tonic::Response::into_inner)
        .map_err(io::Error::other)
}

/// Asks a controller for its status, for operators.
///
/// # Errors
/// Why there is no answer.
pub async fn ask_status(addr: SocketAddr) -> io::Result<String> {
    Ok(ask(
        addr,
        |mut c| async move { c.status(StatusRequest {}).await },
    )
    .await?
    .text)
}

/// Sets or shows the operators' word on staffed hours.
///
/// # Errors
/// Why there is no answer.
pub async fn ask_staffed(addr: SocketAddr, request: StaffedRequest) -> io::Result<StaffedAnswer> {
    let answer = ask(addr, |mut c| async move { c.staffed(request).await }).await?;
    if answer.error.is_empty() {
        Ok(answer)
    } else {
        Err(io::Error::other(answer.error))
    }
}

/// Asks about a run of a workflow, or for one.
///
/// # Errors
/// Why there is no answer; it may have been carried out all the same.
pub async fn ask_flow(addr: SocketAddr, request: FlowRequest) -> io::Result<FlowAnswer> {
    ask_within(addr, FLOW, |mut c| async move { c.flow(request).await }).await
}

/// Asks when a job will be over, or GPUs will be free.
///
/// # Errors
/// Why there is no answer.
pub async fn ask_when(addr: SocketAddr, request: WhenRequest) -> io::Result<WhenAnswer> {
    let answer = ask(addr, |mut c| async move { c.when(request).await }).await?;
    if answer.error.is_empty() {
        Ok(answer)
    } else {
        Err(io::Error::other(answer.error))
    }
}

/// Asks for runs that have ended.
///
/// # Errors
/// Why there is no answer.
pub async fn ask_history(addr: SocketAddr, request: HistoryRequest) -> io::Result<HistoryAnswer> {
    let answer = ask(addr, |mut c| async move { c.history(request).await }).await?;
    if answer.error.is_empty() {
        Ok(answer)
    } else {
        Err(io::Error::other(answer.error))
    }
}
