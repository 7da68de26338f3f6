//! Calls to other controllers: gRPC by `tonic`.

use super::channel::Channel;
use hopyoke_event_loop::http::{Request, Response};
use hopyoke_event_loop::{self as runtime, CancellationToken};
use hopyoke_settings::Peer;
use hopyoke_types::{JobId, Micros};
use proto::mesh_client::MeshClient;
use proto::{
    FlowRequest, FlowResponse, ForwardRequest, Greeting, HeartbeatBatch, HistoryRequest,
    HistoryResponse, JobChange, StaffedRequest, StaffedResponse, StatusRequest, WhenRequest,
    WhenResponse,
};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tonic::Status;
use tracing::debug;

/// The messages of the mesh, generated from `proto/mesh.proto`.
#[allow(
    clippy::all,
    clippy::too_many_lines,
    missing_docs,
    unreachable_pub,
    reason = "generated code"
)]
pub mod proto {
    tonic::include_proto!("hopyoke.mesh");
}

/// A greeting that has taken longer has failed.
pub(crate) const GREET_TIMEOUT: Micros = Micros::from_millis(900);
/// Agents drop responses after 4 s.
const RELAY_TIMEOUT: Micros = Micros::from_millis(2_500);
/// Long, since a plan's pages are written at a limited rate.
const FLOW_TIMEOUT: Micros = Micros::from_secs(20);
/// A peer whose last greeting is no older than this is reachable.
const REACHABLE_WINDOW: Micros = Micros::from_millis(2_500);
/// What is left of the time for a forwarded request for the way to the peer and back.
const FORWARD_MARGIN: Micros = Micros::from_millis(50);

/// The client of one peer, and what the peer has announced.
pub struct PeerClient {
    /// The peer's name and address by the settings.
    pub(crate) peer: Peer,
    connection: RefCell<Option<Connection>>,
    last_greeting_at: Cell<Micros>,
    /// By its last greeting the key-value store answers it.
    store_reachable: Cell<bool>,
    /// By its last greeting: its fencing token if it leads, else 0.
    token: Cell<u64>,
    incarnation: Cell<u64>,
    previous_incarnation: Cell<u64>,
    stale_messages: Cell<u64>,
    last_answer_at: Cell<Micros>,
    /// Users' requests that are being forwarded to it.
    forwarded: Cell<usize>,
}

/// An open connection.
struct Connection {
    client: MeshClient<Channel>,
    /// Closes it.
    cancel: CancellationToken,
}

/// Counts a request for as long as it is being forwarded.
struct ForwardGuard<'a>(&'a Cell<usize>);

impl<'a> ForwardGuard<'a> {
    fn new(forwarded: &'a Cell<usize>) -> ForwardGuard<'a> {
        forwarded.set(forwarded.get() + 1);
        ForwardGuard(forwarded)
    }
}

impl Drop for ForwardGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Users' requests forwarded to one peer at once. Fewer than the streams that it accepts: a request that waits for a
/// stream until its timeout costs both sides as much as an answer. (Guards against overloading a peer that is behind
/// with requests whose users have given up.)
const MAX_FORWARDED: usize = 24;

impl PeerClient {
    fn new(peer: Peer) -> PeerClient {
        PeerClient {
            peer,
            connection: RefCell::default(),
            last_greeting_at: Cell::new(Micros::ZERO),
            store_reachable: Cell::new(false),
            token: Cell::new(0),
            incarnation: Cell::new(0),
            previous_incarnation: Cell::new(0),
            stale_messages: Cell::new(0),
            last_answer_at: Cell::new(Micros::ZERO),
            forwarded: Cell::new(0),
        }
    }

    fn is_reachable(&self) -> bool {
        let last = self.last_greeting_at.get();
        last > Micros::ZERO && runtime::now() < last + REACHABLE_WINDOW
    }

    /// The peer is reachable, and by its last greeting the key-value store answers it.
    pub(crate) fn reaches_store(&self) -> bool {
        self.is_reachable() && self.store_reachable.get()
    }

    /// The peer is reachable, and by its last greeting it leads and has read all records.
    pub(crate) fn leads(&self) -> bool {
        self.is_reachable() && self.token.get() > 0
    }

    /// No more users' requests may be forwarded to the peer now.
    pub(crate) fn is_busy(&self) -> bool {
        self.forwarded.get() >= MAX_FORWARDED
    }

    /// Takes over what the peer announces in a greeting; false if it is stale: from a previous process of the peer, or
    /// from another node at its address. (A greeting that a network partition delayed may arrive long after its process
    /// ended.) A greeting that `is_answer` to a call of this node is from a live process, whatever arrived before it: so
    /// a delayed greeting of a process that was not known yet is corrected within a second.
    pub(crate) fn greeting_received(&self, greeting: &Greeting, is_answer: bool) -> bool {
        let from_previous = !is_answer && greeting.incarnation == self.previous_incarnation.get();
        if greeting.node != self.peer.node || from_previous {
            self.stale_messages.set(self.stale_messages.get() + 1);
            debug!(peer = %self.peer.node, sender = %greeting.node, "stale greeting ignored");
            return false;
        }
        if greeting.incarnation != self.incarnation.get() {
            let previous = self.incarnation.replace(greeting.incarnation);
            self.previous_incarnation.set(previous);
        }
        self.last_greeting_at.set(runtime::now());
        self.store_reachable.set(greeting.store_reachable);
        self.token.set(greeting.token);
        true
    }

    /// Stale greetings since the start of the process.
    pub(crate) fn stale_messages(&self) -> u64 {
        self.stale_messages.get()
    }

    async fn client(&self) -> io::Result<MeshClient<Channel>> {
        if let Some(connection) = &*self.connection.borrow() {
            return Ok(connection.client.clone());
        }
        let cancel = CancellationToken::new();
        let client = MeshClient::new(Channel::connect(self.peer.addr, &cancel).await?);
        *self.connection.borrow_mut() = Some(Connection {
            client: client.clone(),
            cancel,
        });
        Ok(client)
    }

    fn close(&self) {
        if let Some(connection) = self.connection.borrow_mut().take() {
            connection.cancel.cancel();
        }
    }

    /// Makes one call; `None`: it failed, or took longer than `timeout`. A failed connection is closed and opened anew by
    /// the next call.
    pub(crate) async fn call<T, F, G>(&self, timeout: Micros, f: F) -> Option<T>
    where
        F: FnOnce(MeshClient<Channel>) -> G,
        G: Future<Output = Result<tonic::Response<T>, Status>>,
    {
        let result = runtime::timeout(timeout, async {
            let client = self
                .client()
                .await
                .map_err(|e| Status::unavailable(e.to_string()))?;
            f(client).await
        })
        .await;
        match result {
            Ok(Ok(answer)) => {
                self.last_answer_at.set(runtime::now());
                Some(answer.into_inner())
            }
            Ok(Err(e)) => {
                debug!(peer = %self.peer.node, error = %e, "call to a peer failed");
                self.close();
                None
            }
            Err(_) => {
                // One late answer says little: other calls share the connection.
                if runtime::now() > self.last_answer_at.get() + REACHABLE_WINDOW {
                    self.close();
                }
                None
            }
        }
    }

    /// Notifies the peer that a job was accepted or cancelled. Only a hint: its watch delivers the change too.
    pub(crate) async fn notify(&self, from: &str, job: &JobId) {
        if self.is_reachable() {
            let change = JobChange {
                node: from.to_owned(),
                job: job.to_string(),
            };
            let _ = self
                .call(GREET_TIMEOUT, |mut c| async move { c.notify(change).await })
                .await;
        }
    }

    /// Relays agents' heartbeats to the leader; returns the encoded responses in the same order, an empty one for each
    /// heartbeat that was not answered. `None`: the call failed.
    pub(crate) async fn relay_heartbeats(
        &self,
        from: &str,
        heartbeats: Vec<Vec<u8>>,
    ) -> Option<Vec<Vec<u8>>> {
        let count = heartbeats.len();
        let message = HeartbeatBatch {
            node: from.to_owned(),
            heartbeats,
        };
        let answer = self
            .call(RELAY_TIMEOUT, |mut c| async move { c.carry(message).await })
            .await?;
        (answer.responses.len() == count).then_some(answer.responses)
    }

    /// Forwards a user's request to the peer, and waits for its answer for `timeout`. `None`: the peer is unreachable or busy, or could not decide either.
    pub(crate) async fn forward(
        &self,
        from: &str,
        request: &Request,
        timeout: Micros,
    ) -> Option<Response> {
        if !self.is_reachable() || self.is_busy() {
            return None;
        }
        let _guard = ForwardGuard::new(&self.forwarded);
        let message = ForwardRequest {
            node: from.to_owned(),
            method: request.method.as_str().to_owned(),
            path: request.path.clone(),
            body: request.body.clone(),
            remaining_us: timeout.saturating_sub(FORWARD_MARGIN).0.max(1),
        };
        let answer = self
            .call(timeout, |mut c| async move { c.forward(message).await })
            .await?;
        let mut response = Response::empty(u16::try_from(answer.status).ok()?);
        response.body = answer.body;
        response.retry_after_s = (answer.retry_after_s > 0).then_some(answer.retry_after_s);
        (response.status != 503).then_some(response)
    }
}

/// The clients of all peers, in the order of the settings: a peer's index is its place in this list.
pub struct PeerClients {
    clients: Vec<PeerClient>,
    unknown_senders: Cell<u64>,
}

impl PeerClients {
    pub(crate) fn new(peers: &[Peer]) -> PeerClients {
        PeerClients {
            clients: peers.iter().cloned().map(PeerClient::new).collect(),
            unknown_senders: Cell::new(0),
        }
    }

    pub(crate) fn all(&self) -> &[PeerClient] {
        &self.clients
    }

    /// Counts a message of a node that is not among the peers.
    pub(crate) fn count_unknown_sender(&self) {
        self.unknown_senders.set(self.unknown_senders.get() + 1);
    }

    /// Messages of nodes that are not among the peers, since the start of the process.
    pub(crate) fn unknown_senders(&self) -> u64 {
        self.unknown_senders.get()
    }

    pub(crate) fn by_name(&self, name: &str) -> Option<&PeerClient> {
        self.clients.iter().find(|c| c.peer.node == name)
    }

    /// The index of the peer of this name.
    pub(crate) fn index_of(&self, name: &str) -> Option<usize> {
        self.clients.iter().position(|c| c.peer.node == name)
    }

    /// A peer that the key-value store answers, if any.
    pub(crate) fn any_that_reaches_store(&self) -> Option<&PeerClient> {
        self.clients.iter().find(|c| c.reaches_store())
    }
}

/// Makes one call on a connection of its own, as the command line does.
async fn call_once<T, F, G>(addr: SocketAddr, f: F) -> io::Result<T>
where
    F: FnOnce(MeshClient<Channel>) -> G,
    G: Future<Output = Result<tonic::Response<T>, Status>>,
{
    call_once_within(addr, Micros::from_secs(3), f).await
}

async fn call_once_within<T, F, G>(addr: SocketAddr, timeout: Micros, f: F) -> io::Result<T>
where
    F: FnOnce(MeshClient<Channel>) -> G,
    G: Future<Output = Result<tonic::Response<T>, Status>>,
{
    let cancel = CancellationToken::new();
    let client = MeshClient::new(Channel::connect(addr, &cancel).await?);
    let answer = runtime::timeout(timeout, f(client))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    answer
        .map(tonic::Response::into_inner)
        .map_err(io::Error::other)
}

/// Gets the status of the controller at `addr`, as text.
///
/// # Errors
/// The connection or the call failed, or it timed out.
pub async fn get_status(addr: SocketAddr) -> io::Result<String> {
    Ok(call_once(
        addr,
        |mut c| async move { c.status(StatusRequest {}).await },
    )
    .await?
    .text)
}

/// Sets or shows the operators' override of the staffed hours.
///
/// # Errors
/// The connection or the call failed, it timed out, or the controller refused the request.
pub async fn call_staffed(
    addr: SocketAddr,
    request: StaffedRequest,
) -> io::Result<StaffedResponse> {
    let answer = call_once(addr, |mut c| async move { c.staffed(request).await }).await?;
    if answer.error.is_empty() {
        Ok(answer)
    } else {
        Err(io::Error::other(answer.error))
    }
}

/// Submits, cancels, resumes or queries runs of workflows. A refusal is in the answer's status.
///
/// # Errors
/// The connection or the call failed, or it timed out; the request may have been executed all the same.
pub async fn call_flow(addr: SocketAddr, request: FlowRequest) -> io::Result<FlowResponse> {
    call_once_within(
        addr,
        FLOW_TIMEOUT,
        |mut c| async move { c.flow(request).await },
    )
    .await
}

/// Gets the estimate of when a job will end, or GPUs will be free.
///
/// # Errors
/// The connection or the call failed, it timed out, or there is no estimate.
pub async fn get_estimate(addr: SocketAddr, request: WhenRequest) -> io::Result<WhenResponse> {
    let answer = call_once(addr, |mut c| async move { c.when(request).await }).await?;
    if answer.error.is_empty() {
        Ok(answer)
    } else {
        Err(io::Error::other(answer.error))
    }
}

/// Gets runs of tasks that have ended.
///
/// # Errors
/// The connection or the call failed, it timed out, or the leader is not known.
pub async fn get_history(addr: SocketAddr, request: HistoryRequest) -> io::Result<HistoryResponse> {
    let answer = call_once(addr, |mut c| async move { c.history(request).await }).await?;
    if answer.error.is_empty() {
        Ok(answer)
    } else {
        Err(io::Error::other(answer.error))
    }
}
