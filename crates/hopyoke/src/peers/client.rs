//! Client of other controllers: gRPC by `tonic`.

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

/// Messages and stubs of the mesh service, generated from `proto/mesh.proto`.
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

/// Timeout of a greeting or notification.
pub(crate) const GREET_TIMEOUT: Micros = Micros::from_millis(900);
/// Timeout of a batch of relayed heartbeats: well below the 4 s after which agents drop responses.
const RELAY_TIMEOUT: Micros = Micros::from_millis(2_500);
/// Timeout of a workflow call: long, because the pages of a plan are written at a limited rate.
const WORKFLOW_CALL_TIMEOUT: Micros = Micros::from_secs(20);
/// Time after a peer's last greeting for which the peer counts as reachable.
const REACHABLE_WINDOW: Micros = Micros::from_millis(2_500);
/// Part of a forwarded request's timeout reserved for the transfer to the peer and back.
const FORWARD_MARGIN: Micros = Micros::from_millis(50);

/// Client of one peer, with the state that the peer has announced.
pub struct PeerClient {
    /// Name and address of the peer, from the settings.
    pub(crate) peer: Peer,
    connection: RefCell<Option<Connection>>,
    last_greeting_at: Cell<Micros>,
    /// Whether the peer reaches the key-value store, by its last greeting.
    store_reachable: Cell<bool>,
    /// Fencing token of the peer if it leads, else 0, by its last greeting.
    token: Cell<u64>,
    incarnation: Cell<u64>,
    previous_incarnation: Cell<u64>,
    stale_messages: Cell<u64>,
    last_response_at: Cell<Micros>,
    /// Number of users' requests that are being forwarded to the peer.
    forwarded_requests: Cell<usize>,
}

/// Open connection to a peer.
struct Connection {
    client: MeshClient<Channel>,
    /// Closes the connection.
    cancel: CancellationToken,
}

/// Counts a request while it is being forwarded.
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

/// Maximum number of users' requests forwarded to one peer concurrently. Fewer than the streams that the peer
/// accepts: a request that waits for a stream until its timeout costs both sides as much as a response. Guards
/// against overloading a slow peer with requests that have timed out for their users.
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
            last_response_at: Cell::new(Micros::ZERO),
            forwarded_requests: Cell::new(0),
        }
    }

    fn is_reachable(&self) -> bool {
        let last = self.last_greeting_at.get();
        last > Micros::ZERO && runtime::now() < last + REACHABLE_WINDOW
    }

    /// Returns whether the peer is reachable and, by its last greeting, reaches the key-value store.
    pub(crate) fn reaches_store(&self) -> bool {
        self.is_reachable() && self.store_reachable.get()
    }

    /// Returns whether the peer is reachable and, by its last greeting, leads and has read all records.
    pub(crate) fn leads(&self) -> bool {
        self.is_reachable() && self.token.get() > 0
    }

    /// Returns whether the maximum number of users' requests is being forwarded to the peer.
    pub(crate) fn is_busy(&self) -> bool {
        self.forwarded_requests.get() >= MAX_FORWARDED
    }

    /// Stores the state that the peer announces in a greeting. Returns false for a stale greeting: one from the
    /// previous process of the peer, or from another node at its address. A greeting that was delayed by a network
    /// partition may arrive long after its process ended.
    ///
    /// A greeting that `is_response` to a call of this node comes from a live process, regardless of earlier messages.
    /// The state stored from a delayed greeting of a process that was not known yet is therefore corrected within a
    /// second.
    pub(crate) fn greeting_received(&self, greeting: &Greeting, is_response: bool) -> bool {
        let from_previous = !is_response && greeting.incarnation == self.previous_incarnation.get();
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

    /// Returns the number of stale greetings since the start of the process.
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

    /// Makes one call. Returns `None` if it failed or took longer than `timeout`. A failed connection is closed, and
    /// the next call opens a new one.
    pub(crate) async fn call<T, F, G>(&self, timeout: Micros, request: F) -> Option<T>
    where
        F: FnOnce(MeshClient<Channel>) -> G,
        G: Future<Output = Result<tonic::Response<T>, Status>>,
    {
        let result = runtime::timeout(timeout, async {
            let client = self
                .client()
                .await
                .map_err(|e| Status::unavailable(e.to_string()))?;
            request(client).await
        })
        .await;
        match result {
            Ok(Ok(response)) => {
                self.last_response_at.set(runtime::now());
                Some(response.into_inner())
            }
            Ok(Err(e)) => {
                debug!(peer = %self.peer.node, error = %e, "call to peer failed");
                self.close();
                None
            }
            Err(_) => {
                // A single timeout does not close the connection, which other calls share.
                if runtime::now() > self.last_response_at.get() + REACHABLE_WINDOW {
                    self.close();
                }
                None
            }
        }
    }

    /// Notifies the peer that a job was accepted or cancelled. The notification is a hint: the peer's watch delivers
    /// the change too.
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

    /// Relays agents' heartbeats to the leader. Returns the encoded responses in the same order, with an empty one
    /// for each heartbeat that was not answered, or `None` if the call failed.
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
        let response = self
            .call(RELAY_TIMEOUT, |mut c| async move { c.carry(message).await })
            .await?;
        (response.responses.len() == count).then_some(response.responses)
    }

    /// Forwards a user's request to the peer. Returns `None` if the peer is unreachable, busy, does not respond
    /// within `timeout` or cannot decide the request either.
    pub(crate) async fn forward(
        &self,
        from: &str,
        request: &Request,
        timeout: Micros,
    ) -> Option<Response> {
        if !self.is_reachable() || self.is_busy() {
            return None;
        }
        let _guard = ForwardGuard::new(&self.forwarded_requests);
        let message = ForwardRequest {
            node: from.to_owned(),
            method: request.method.as_str().to_owned(),
            path: request.path.clone(),
            body: request.body.clone(),
            remaining_us: timeout.saturating_sub(FORWARD_MARGIN).0.max(1),
        };
        let forwarded = self
            .call(timeout, |mut c| async move { c.forward(message).await })
            .await?;
        let mut response = Response::empty(u16::try_from(forwarded.status).ok()?);
        response.body = forwarded.body;
        response.retry_after_s = (forwarded.retry_after_s > 0).then_some(forwarded.retry_after_s);
        (response.status != 503).then_some(response)
    }
}

/// Clients of all peers, in the order of the settings. A peer's index is its position in this list.
pub struct PeerClients {
    clients: Vec<PeerClient>,
    unknown_sender_messages: Cell<u64>,
}

impl PeerClients {
    pub(crate) fn new(peers: &[Peer]) -> PeerClients {
        PeerClients {
            clients: peers.iter().cloned().map(PeerClient::new).collect(),
            unknown_sender_messages: Cell::new(0),
        }
    }

    pub(crate) fn all(&self) -> &[PeerClient] {
        &self.clients
    }

    /// Counts a message from a node that is not a peer.
    pub(crate) fn count_unknown_sender(&self) {
        self.unknown_sender_messages
            .set(self.unknown_sender_messages.get() + 1);
    }

    /// Returns the number of messages from nodes that are not peers since the start of the process.
    pub(crate) fn unknown_sender_messages(&self) -> u64 {
        self.unknown_sender_messages.get()
    }

    pub(crate) fn by_name(&self, name: &str) -> Option<&PeerClient> {
        self.clients.iter().find(|c| c.peer.node == name)
    }

    /// Returns the index of the peer with this name.
    pub(crate) fn index_of(&self, name: &str) -> Option<usize> {
        self.clients.iter().position(|c| c.peer.node == name)
    }

    /// Returns a peer that reaches the key-value store, if any.
    pub(crate) fn any_that_reaches_store(&self) -> Option<&PeerClient> {
        self.clients.iter().find(|c| c.reaches_store())
    }
}

/// Makes one call on a temporary connection, for the command line.
async fn call_once<T, F, G>(addr: SocketAddr, request: F) -> io::Result<T>
where
    F: FnOnce(MeshClient<Channel>) -> G,
    G: Future<Output = Result<tonic::Response<T>, Status>>,
{
    call_once_within(addr, Micros::from_secs(3), request).await
}

async fn call_once_within<T, F, G>(addr: SocketAddr, timeout: Micros, request: F) -> io::Result<T>
where
    F: FnOnce(MeshClient<Channel>) -> G,
    G: Future<Output = Result<tonic::Response<T>, Status>>,
{
    let cancel = CancellationToken::new();
    let client = MeshClient::new(Channel::connect(addr, &cancel).await?);
    let response = runtime::timeout(timeout, request(client))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    response
        .map(tonic::Response::into_inner)
        .map_err(io::Error::other)
}

/// Returns the status of the controller at `addr`, as text.
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

/// Sets or returns the operators' override of the staffed hours.
///
/// # Errors
/// The connection or the call failed, it timed out, or the controller rejected the request.
pub async fn call_staffed_hours(
    addr: SocketAddr,
    request: StaffedRequest,
) -> io::Result<StaffedResponse> {
    let response = call_once(addr, |mut c| async move { c.staffed(request).await }).await?;
    if response.error.is_empty() {
        Ok(response)
    } else {
        Err(io::Error::other(response.error))
    }
}

/// Submits, cancels, resumes or queries runs of workflows. A rejection is reported by the status of the response.
///
/// # Errors
/// The connection or the call failed, or it timed out; the request may still have been executed.
pub async fn call_workflows(addr: SocketAddr, request: FlowRequest) -> io::Result<FlowResponse> {
    call_once_within(addr, WORKFLOW_CALL_TIMEOUT, |mut c| async move {
        c.flow(request).await
    })
    .await
}

/// Returns an estimate of when a job will end or GPUs will be free.
///
/// # Errors
/// The connection or the call failed, it timed out, or there is no estimate.
pub async fn get_estimate(addr: SocketAddr, request: WhenRequest) -> io::Result<WhenResponse> {
    let response = call_once(addr, |mut c| async move { c.when(request).await }).await?;
    if response.error.is_empty() {
        Ok(response)
    } else {
        Err(io::Error::other(response.error))
    }
}

/// Returns finished runs of tasks.
///
/// # Errors
/// The connection or the call failed, it timed out, or the leader is not known.
pub async fn get_history(addr: SocketAddr, request: HistoryRequest) -> io::Result<HistoryResponse> {
    let response = call_once(addr, |mut c| async move { c.history(request).await }).await?;
    if response.error.is_empty() {
        Ok(response)
    } else {
        Err(io::Error::other(response.error))
    }
}
