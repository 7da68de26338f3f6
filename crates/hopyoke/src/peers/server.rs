//! Serves calls of other controllers and of operators, and greets the peers: gRPC by `tonic`.
//!
//! Through greetings nodes learn which of them reach the key-value store, forward users' requests to a node that can
//! answer them better, and grant lease support in an outage (see [`hopyoke_consistency::leader_lease`]). Safety
//! does not depend on the mesh.

use crate::agents::heartbeats;
use crate::api::deadline::RequestDeadline;
use crate::api::jobs;
use crate::node::{Leadership, Node};
use crate::operations::estimates;
use crate::peers::channel::LocalExec;
use crate::peers::client::GREET_TIMEOUT;
use crate::peers::client::proto::mesh_server::{Mesh, MeshServer};
use crate::peers::client::proto::{
    FlowRequest, FlowResponse, ForwardRequest, ForwardResponse, Greeting, HeartbeatBatch,
    HeartbeatResponses, HistoryRequest, HistoryResponse, JobChange, StaffedRequest,
    StaffedResponse, StatusRequest, StatusResponse, WhenRequest, WhenResponse,
};
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use futures_util::future::join_all;
use hopyoke_consistency::Cursor;
use hopyoke_consistency::deadline::USER_POLL_TIMEOUT;
use hopyoke_consistency::read_index::ReadQuery;
use hopyoke_event_loop::http::{Method, Request};
use hopyoke_event_loop::{self as runtime, TcpListener};
use hopyoke_heartbeat::ConnectionLoad;
use hopyoke_types::{JobId, Micros, ModRevision};
use hyper::body::Incoming;
use std::cell::Cell;
use std::rc::Rc;
use tonic::Status;
use tracing::{debug, warn};

/// Returns the state that this node announces to a peer.
fn greeting(node: &Node) -> Greeting {
    let load = node.routes.borrow_mut().update_own_load(
        node.leadership().is_some(),
        node.is_cpu_overloaded(),
        node.open_connections.count(),
        node.max_open_connections(),
        runtime::now(),
    );
    let leadership = node
        .leadership()
        .filter(|leadership| leadership.lease_is_valid());
    let (token, applied_revision) = leadership.map_or((0, 0), |leadership| {
        let scheduler = leadership.scheduler.borrow();
        (scheduler.token.0, scheduler.applied_revision().0)
    });
    Greeting {
        node: node.settings.node.clone(),
        incarnation: node.lease_support.incarnation,
        store_reachable: node.store.is_responding(),
        token,
        applied_revision,
        open: load.open,
        max_open: load.max_open,
        offloads: load.offloads,
        write_demand: node
            .leadership()
            .map_or(0.0, |_| node.admission.write_demand()),
        ..Greeting::default()
    }
}

/// Returns the greeting that requests the peer's own.
fn greeting_request(node: &Node, peer: usize) -> Greeting {
    let cursor = node
        .leadership()
        .map_or_else(Default::default, |leadership| {
            leadership.delivery_cursors.borrow().cursor(peer)
        });
    Greeting {
        requested_loan: node.admission.requested_loan(),
        queue_positions: node.admission.take_gossip(peer),
        delivered_incarnation: cursor.incarnation,
        delivered_up_to: cursor.sequence,
        ..greeting(node)
    }
}

/// Returns the response to a greeting. A leader receives the cancellations acknowledged here that it may not have
/// applied and, if the key-value store rejects this node's requests too, lease support with them. The leader sent the
/// request, so the support counts from the time of sending; unsolicited support could arrive late.
fn greeting_response(node: &Node, request: &Greeting) -> Greeting {
    let mut response = greeting(node);
    if request.token == 0 {
        return response;
    }
    let cursor = Cursor {
        incarnation: request.delivered_incarnation,
        sequence: request.delivered_up_to,
    };
    let cancellation_log = node.lease_support.cancellation_log.borrow();
    let delta = cancellation_log.delta_since(
        ModRevision(request.applied_revision),
        cursor.sequence_in(node.lease_support.incarnation),
    );
    let support = (delta.is_complete && !response.store_reachable)
        .then(|| node.lease_support.grant_support())
        .flatten();
    response.support_us = support.map_or(0, |duration| duration.0);
    response.cancelled_up_to = delta.last_sequence;
    response.cancellations_complete = delta.is_complete;
    response.cancelled_jobs = delta.jobs.iter().map(ToString::to_string).collect();
    response
}

/// Greets a peer once and applies its response. Returns true if this node leads and the response was complete: this
/// leader lacks no cancellation that the peer had acknowledged to users by then.
async fn exchange_greetings(node: &Node, peer: usize) -> bool {
    let request = greeting_request(node, peer);
    let client = &node.peers.all()[peer];
    let sent_at = runtime::now();
    let response = client
        .call(GREET_TIMEOUT, |mut c| async move { c.greet(request).await })
        .await;
    let Some(response) = response.filter(|a| client.greeting_received(a, true)) else {
        return false;
    };
    record_load(node, peer, &response);
    node.admission
        .loan_received(peer, response.granted_loan, sent_at);
    if response.token > 0 {
        node.admission
            .write_demand_received(response.write_demand, sent_at);
    }
    let Some(leadership) = node.leadership() else {
        return false;
    };
    apply_greeting_response(node, &leadership, peer, sent_at, &response);
    response.cancellations_complete
}

/// Has the peers confirm reads that are pending at the leader because the key-value store is too slow for them; see
/// [`Leadership::wait_until_confirmed`].
pub(crate) async fn confirm_reads(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        let Some(query) = leadership.peer_confirmed_reads.next_query().await else {
            leadership.peer_confirmed_reads.wake_readers();
            continue;
        };
        runtime::spawn_until(
            leadership.cancel.clone(),
            confirm_by_all_peers(node.clone(), leadership.clone(), query),
        );
    }
}

async fn confirm_by_all_peers(node: Rc<Node>, leadership: Rc<Leadership>, query: ReadQuery) {
    let peers = 0..node.peers.all().len();
    let responses = join_all(peers.map(|peer| exchange_greetings(&node, peer))).await;
    let own_log_is_applied = node
        .lease_support
        .cancellation_log
        .borrow()
        .covers(leadership.scheduler.borrow().applied_revision());
    // As the lease is valid, no other node has led since the query was sent.
    let is_confirmed =
        own_log_is_applied && responses.into_iter().all(|a| a) && leadership.lease_is_valid();
    let now = runtime::now();
    if is_confirmed {
        leadership.peer_confirmed_reads.query_answered(query, now);
    } else {
        leadership.peer_confirmed_reads.query_failed(query, now);
    }
    leadership.peer_confirmed_reads.wake_readers();
}

/// Greets one peer about once a second, for as long as the node runs.
pub(crate) async fn greet(node: Rc<Node>, peer: usize) {
    loop {
        exchange_greetings(&node, peer).await;
        // Lease support is short-lived, so it is requested again well before it expires.
        let pause = match (node.store.is_responding(), node.admission.is_overloaded()) {
            (true, false) => 1000,
            (false, false) => 600,
            (_, true) => 400,
        };
        runtime::sleep(Micros::from_millis(pause)).await;
    }
}

fn record_load(node: &Node, peer: usize, greeting: &Greeting) {
    let load = ConnectionLoad {
        open: greeting.open,
        max_open: greeting.max_open,
        offloads: greeting.offloads,
    };
    node.routes
        .borrow_mut()
        .load_received(peer, load, runtime::now());
}

/// Applies a peer's response at the leader: first the cancellations, then the lease support, which is granted on the
/// condition that the leader knows them. The support counts only if the leader has also applied the cancellations
/// that its own node acknowledged before the election. Guards the invariant `ran_cancelled`; see the scenario
/// leader_rejected_then_outage_new_process.
fn apply_greeting_response(
    node: &Node,
    leadership: &Leadership,
    peer: usize,
    sent_at: Micros,
    response: &Greeting,
) {
    let now = runtime::now();
    let own_log_is_applied = node
        .lease_support
        .cancellation_log
        .borrow()
        .covers(leadership.scheduler.borrow().applied_revision());
    let support =
        (response.support_us > 0 && own_log_is_applied).then_some(Micros(response.support_us));
    if !response.cancelled_jobs.is_empty() {
        let mut scheduler = leadership.scheduler.borrow_mut();
        for id in response
            .cancelled_jobs
            .iter()
            .filter_map(|id| JobId::parse(id))
        {
            // Includes jobs that are not known yet: their records may still arrive.
            scheduler.job_removed(&id, now);
        }
        leadership.wakeup.notify();
    }
    leadership.delivery_cursors.borrow_mut().advance(
        peer,
        response.incarnation,
        response.cancelled_up_to,
    );
    leadership
        .leader_lease
        .borrow_mut()
        .support_answered(peer, sent_at, support, now);
}

/// Incoming call, with the channel for its response.
enum Call {
    Greet(Greeting, oneshot::Sender<Greeting>),
    Notify(JobChange, oneshot::Sender<Greeting>),
    Forward(ForwardRequest, oneshot::Sender<ForwardResponse>),
    Carry(HeartbeatBatch, oneshot::Sender<HeartbeatResponses>),
    Status(oneshot::Sender<String>),
    When(WhenRequest, oneshot::Sender<WhenResponse>),
    History(HistoryRequest, oneshot::Sender<HistoryResponse>),
    Flow(FlowRequest, oneshot::Sender<FlowResponse>),
    Staffed(StaffedRequest, oneshot::Sender<StaffedResponse>),
}

/// Handlers that are `Send`, as `tonic` requires. They hand each call to a background task on the event loop's thread.
#[derive(Clone)]
struct Handlers(mpsc::Sender<Call>);

/// Maximum number of calls queued between the handlers and the event loop; further ones are rejected.
const MAX_QUEUED_CALLS: usize = 64;

impl Handlers {
    async fn dispatch<T>(
        &self,
        make_call: impl FnOnce(oneshot::Sender<T>) -> Call,
    ) -> Result<tonic::Response<T>, Status> {
        let (reply, response) = oneshot::channel();
        let mut queue = self.0.clone();
        queue
            .try_send(make_call(reply))
            .map_err(|_| Status::resource_exhausted("too many queued calls"))?;
        response
            .await
            .map(tonic::Response::new)
            .map_err(|_| Status::permission_denied("refused"))
    }
}

#[tonic::async_trait]
impl Mesh for Handlers {
    async fn greet(
        &self,
        r: tonic::Request<Greeting>,
    ) -> Result<tonic::Response<Greeting>, Status> {
        self.dispatch(|reply| Call::Greet(r.into_inner(), reply))
            .await
    }
    async fn notify(
        &self,
        r: tonic::Request<JobChange>,
    ) -> Result<tonic::Response<Greeting>, Status> {
        self.dispatch(|reply| Call::Notify(r.into_inner(), reply))
            .await
    }
    async fn forward(
        &self,
        r: tonic::Request<ForwardRequest>,
    ) -> Result<tonic::Response<ForwardResponse>, Status> {
        self.dispatch(|reply| Call::Forward(r.into_inner(), reply))
            .await
    }
    async fn carry(
        &self,
        r: tonic::Request<HeartbeatBatch>,
    ) -> Result<tonic::Response<HeartbeatResponses>, Status> {
        self.dispatch(|reply| Call::Carry(r.into_inner(), reply))
            .await
    }
    async fn status(
        &self,
        _: tonic::Request<StatusRequest>,
    ) -> Result<tonic::Response<StatusResponse>, Status> {
        let text = self.dispatch(Call::Status).await?.into_inner();
        Ok(tonic::Response::new(StatusResponse { text }))
    }
    async fn when(
        &self,
        r: tonic::Request<WhenRequest>,
    ) -> Result<tonic::Response<WhenResponse>, Status> {
        self.dispatch(|reply| Call::When(r.into_inner(), reply))
            .await
    }
    async fn history(
        &self,
        r: tonic::Request<HistoryRequest>,
    ) -> Result<tonic::Response<HistoryResponse>, Status> {
        self.dispatch(|reply| Call::History(r.into_inner(), reply))
            .await
    }
    async fn flow(
        &self,
        r: tonic::Request<FlowRequest>,
    ) -> Result<tonic::Response<FlowResponse>, Status> {
        self.dispatch(|reply| Call::Flow(r.into_inner(), reply))
            .await
    }
    async fn staffed(
        &self,
        r: tonic::Request<StaffedRequest>,
    ) -> Result<tonic::Response<StaffedResponse>, Status> {
        self.dispatch(|reply| Call::Staffed(r.into_inner(), reply))
            .await
    }
}

struct HyperService(MeshServer<Handlers>);

impl hyper::service::Service<http::Request<Incoming>> for HyperService {
    type Response = http::Response<tonic::body::Body>;
    type Error = std::convert::Infallible;
    type Future =
        std::pin::Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn call(&self, request: http::Request<Incoming>) -> Self::Future {
        tower_service::Service::call(&mut self.0.clone(), request)
    }
}

/// Maximum number of open connections; further ones are closed immediately.
const MAX_CONNECTIONS: usize = 32;

/// Accepts calls from peers and operators, for as long as the node runs.
pub(crate) async fn serve(node: Rc<Node>) {
    let addr = node.settings.mesh_listen;
    let listener = match TcpListener::bind(addr) {
        Ok(l) => l,
        Err(e) => {
            // Neither safety nor the users' API depends on the mesh.
            warn!(error = %e, "cannot listen on mesh_addr {addr}");
            return;
        }
    };
    let (queue, mut calls) = mpsc::channel(MAX_QUEUED_CALLS);
    let local = node.clone();
    runtime::spawn_until(node.cancel.clone(), async move {
        while let Some(call) = calls.next().await {
            let node = local.clone();
            runtime::spawn_until(node.cancel.clone(), async move {
                handle_call(&node, call).await
            });
        }
    });
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok(stream) = listener.accept().await else {
            runtime::sleep(Micros::from_millis(100)).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (open, queue) = (open.clone(), queue.clone());
        runtime::spawn_until(node.cancel.clone(), async move {
            let connection = hyper::server::conn::http2::Builder::new(LocalExec)
                .max_concurrent_streams(32)
                .max_header_list_size(8 * 1024)
                .serve_connection(stream, HyperService(MeshServer::new(Handlers(queue))));
            // Closes connections that a network partition left half-open; peers open new ones.
            let _ = runtime::timeout(Micros::from_secs(600), connection).await;
            open.set(open.get() - 1);
        });
    }
}

/// Returns the index of the peer with this name. Messages from other nodes are counted and not answered.
fn peer_index(node: &Node, name: &str) -> Option<usize> {
    let index = node.peers.index_of(name);
    if index.is_none() {
        node.peers.count_unknown_sender();
        debug!(node = name, "message from an unknown node ignored");
    }
    index
}

async fn handle_call(node: &Rc<Node>, call: Call) {
    match call {
        Call::Greet(greeting, reply) => handle_greeting(node, &greeting, reply),
        Call::Notify(change, reply) => handle_notification(node, &change, reply).await,
        Call::Forward(request, reply) => handle_forwarded(node, request, reply).await,
        Call::Carry(batch, reply) => handle_relayed(node, &batch, reply),
        Call::Status(reply) => {
            let _ = reply.send(crate::operations::status::render(node));
        }
        Call::When(request, reply) => {
            let _ = reply.send(estimates::estimate_completion(node, request).await);
        }
        Call::History(request, reply) => {
            let _ = reply.send(estimates::completed_runs(node, request).await);
        }
        Call::Flow(request, reply) => {
            let _ = reply.send(crate::workflows::calls::serve(node, request).await);
        }
        Call::Staffed(request, reply) => {
            let _ = reply.send(crate::operations::staffed_hours::serve(node, request).await);
        }
    }
}

fn handle_greeting(node: &Node, greeting: &Greeting, reply: oneshot::Sender<Greeting>) {
    let Some(peer) = peer_index(node, &greeting.node) else {
        return;
    };
    if !node.peers.all()[peer].greeting_received(greeting, false) {
        return;
    }
    let mut response = greeting_response(node, greeting);
    record_load(node, peer, greeting);
    node.admission
        .gossip_received(peer, &greeting.queue_positions);
    response.granted_loan = node.admission.grant_loan(peer, greeting.requested_loan);
    let _ = reply.send(response);
}

async fn handle_notification(node: &Node, change: &JobChange, reply: oneshot::Sender<Greeting>) {
    if peer_index(node, &change.node).is_none() {
        return;
    }
    let _ = reply.send(greeting(node));
    // One read serves all notifications that arrive in the meantime, and the pending polls.
    if let Some(leadership) = node.leadership() {
        let deadline = runtime::now() + USER_POLL_TIMEOUT;
        leadership.wait_until_current(deadline).await;
    }
}

async fn handle_forwarded(
    node: &Rc<Node>,
    message: ForwardRequest,
    reply: oneshot::Sender<ForwardResponse>,
) {
    if peer_index(node, &message.node).is_none() {
        return;
    }
    let method = match message.method.as_str() {
        "GET" => Method::Get,
        "POST" => Method::Post,
        _ => return,
    };
    let request = Request::new(method, message.path, message.body);
    let Some(rest) = jobs::path_below_jobs(&request.path) else {
        return;
    };
    let deadline = RequestDeadline::for_forwarded_request(method, Micros(message.remaining_us));
    let response = jobs::serve_locally(node, rest, &request, deadline).await;
    let _ = reply.send(ForwardResponse {
        status: u32::from(response.status),
        retry_after_s: response.retry_after_s.unwrap_or(0),
        body: response.body,
    });
}

fn handle_relayed(node: &Node, batch: &HeartbeatBatch, reply: oneshot::Sender<HeartbeatResponses>) {
    if peer_index(node, &batch.node).is_none() {
        return;
    }
    let responses = batch
        .heartbeats
        .iter()
        .map(|body| heartbeats::serve_relayed(node, body))
        .collect();
    let _ = reply.send(HeartbeatResponses { responses });
}
