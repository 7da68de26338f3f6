//! Serves calls of other controllers and of operators, and greets the peers: gRPC by `tonic`.
//!
//! Over the mesh nodes learn who reaches the key-value store, forward users' requests to a node that can answer them
//! better, and grant lease support in an outage (see [`hopyoke_consistency::leader_lease`]). No safety rule depends on
//! it.

use crate::agents::heartbeats;
use crate::api::deadline::RequestDeadline;
use crate::api::jobs;
use crate::node::{Leadership, Node};
use crate::operations::estimates;
use crate::peers::channel::LocalExec;
use crate::peers::client::GREET_TIMEOUT;
use crate::peers::client::proto::mesh_server::{Mesh, MeshServer};
use crate::peers::client::proto::{
    FlowAnswer, FlowRequest, Greeting, HeartbeatBatch, HeartbeatResponses, HistoryAnswer,
    HistoryRequest, JobChange, StaffedAnswer, StaffedRequest, StatusAnswer, StatusRequest,
    UserAnswer, UserRequest, WhenAnswer, WhenRequest,
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

/// What this node announces to a peer.
fn greeting(node: &Node) -> Greeting {
    let load = node.routes.borrow_mut().update_own_load(
        node.leadership().is_some(),
        node.is_behind(),
        node.open_connections.count(),
        node.max_open_connections(),
        runtime::now(),
    );
    let leadership = node.leadership().filter(|l| l.lease_is_valid());
    let (token, applied_revision) = leadership.map_or((0, 0), |l| {
        let scheduler = l.scheduler.borrow();
        (scheduler.token.0, scheduler.applied_revision().0)
    });
    Greeting {
        node: node.settings.node.clone(),
        process: node.lease_support.incarnation,
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

/// A greeting that requests the peer's own.
fn greeting_request(node: &Node, peer: usize) -> Greeting {
    let cursor = node.leadership().map_or_else(Default::default, |l| {
        l.delivery_cursors.borrow().cursor(peer)
    });
    Greeting {
        requested_loan: node.admission.requested_loan(),
        queue_positions: node.admission.take_gossip(peer),
        delivered_process: cursor.process,
        delivered_upto: cursor.sequence,
        ..greeting(node)
    }
}

/// The answer to a greeting. A leader receives the cancellations confirmed here that it may not have applied, and, if
/// the key-value store refuses this node too, lease support with them: it sent the request, so it may rely on the support
/// from the time of sending on. Support that was not requested could arrive late.
fn greeting_answer(node: &Node, request: &Greeting) -> Greeting {
    let mut answer = greeting(node);
    if request.token == 0 {
        return answer;
    }
    let cursor = Cursor {
        process: request.delivered_process,
        sequence: request.delivered_upto,
    };
    let cancellation_log = node.lease_support.cancellation_log.borrow();
    let delta = cancellation_log.delta_since(
        ModRevision(request.applied_revision),
        cursor.sequence_in(node.lease_support.incarnation),
    );
    let support = (delta.is_complete && !answer.store_reachable)
        .then(|| node.lease_support.grant_support())
        .flatten();
    answer.support_us = support.map_or(0, |span| span.0);
    answer.cancelled_upto = delta.last_sequence;
    answer.cancellations_complete = delta.is_complete;
    answer.cancelled_jobs = delta.jobs.iter().map(ToString::to_string).collect();
    answer
}

/// Greets a peer once and takes over its answer. True if this node leads, and the answer left out no cancellation that was
/// confirmed to users there by then and that this leader lacked.
async fn exchange_greetings(node: &Node, peer: usize) -> bool {
    let request = greeting_request(node, peer);
    let client = &node.peers.all()[peer];
    let sent_at = runtime::now();
    let answer = client
        .call(GREET_TIMEOUT, |mut c| async move { c.greet(request).await })
        .await;
    let Some(answer) = answer.filter(|a| client.greeting_received(a, true)) else {
        return false;
    };
    note_load(node, peer, &answer);
    node.admission
        .loan_received(peer, answer.granted_loan, sent_at);
    if answer.token > 0 {
        node.admission
            .write_demand_received(answer.write_demand, sent_at);
    }
    let Some(leadership) = node.leadership() else {
        return false;
    };
    apply_answer(node, &leadership, peer, sent_at, &answer);
    answer.cancellations_complete
}

/// Has the peers confirm reads that wait at the leader because the key-value store is too slow for them: see
/// [`Leadership::wait_until_confirmed`].
pub(crate) async fn confirm_reads(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        let Some(query) = leadership.reads_by_peers.next_query().await else {
            leadership.reads_by_peers.wake_readers();
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
    let answers = join_all(peers.map(|peer| exchange_greetings(&node, peer))).await;
    let own_are_applied = node
        .lease_support
        .cancellation_log
        .borrow()
        .covers(leadership.scheduler.borrow().applied_revision());
    // A valid lease: nobody else has led since the query was sent.
    let is_confirmed =
        own_are_applied && answers.into_iter().all(|a| a) && leadership.lease_is_valid();
    let now = runtime::now();
    if is_confirmed {
        leadership.reads_by_peers.query_answered(query, now);
    } else {
        leadership.reads_by_peers.query_failed(query, now);
    }
    leadership.reads_by_peers.wake_readers();
}

/// Greets one peer about once a second, for as long as the node runs.
pub(crate) async fn greet(node: Rc<Node>, peer: usize) {
    loop {
        exchange_greetings(&node, peer).await;
        // Lease support is short: it is requested again well before it expires.
        let pause = match (node.store.is_responding(), node.admission.is_overloaded()) {
            (true, false) => 1000,
            (false, false) => 600,
            (_, true) => 400,
        };
        runtime::sleep(Micros::from_millis(pause)).await;
    }
}

fn note_load(node: &Node, peer: usize, greeting: &Greeting) {
    let load = ConnectionLoad {
        open: greeting.open,
        max_open: greeting.max_open,
        offloads: greeting.offloads,
    };
    node.routes
        .borrow_mut()
        .load_received(peer, load, runtime::now());
}

/// Applies a peer's answer at the leader: first the cancellations, then the lease support, which is granted on the
/// condition that the leader knows them. The support counts only if the leader has also applied what was confirmed at its
/// own node before its election. (Guards `ran_cancelled`. Scenario leader_rejected_then_outage_new_process.)
fn apply_answer(
    node: &Node,
    leadership: &Leadership,
    peer: usize,
    sent_at: Micros,
    answer: &Greeting,
) {
    let now = runtime::now();
    let own_applied = node
        .lease_support
        .cancellation_log
        .borrow()
        .covers(leadership.scheduler.borrow().applied_revision());
    let span = (answer.support_us > 0 && own_applied).then_some(Micros(answer.support_us));
    if !answer.cancelled_jobs.is_empty() {
        let mut scheduler = leadership.scheduler.borrow_mut();
        for id in answer
            .cancelled_jobs
            .iter()
            .filter_map(|id| JobId::parse(id))
        {
            // Also of jobs that are not known yet: their records may still be on their way.
            scheduler.job_removed(&id, now);
        }
        leadership.wakeup.notify();
    }
    leadership
        .delivery_cursors
        .borrow_mut()
        .advance(peer, answer.process, answer.cancelled_upto);
    leadership
        .leader_lease
        .borrow_mut()
        .support_answered(peer, sent_at, span, now);
}

/// A call that arrived, with the channel for its answer.
enum Call {
    Greet(Greeting, oneshot::Sender<Greeting>),
    Notify(JobChange, oneshot::Sender<Greeting>),
    Forward(UserRequest, oneshot::Sender<UserAnswer>),
    Carry(HeartbeatBatch, oneshot::Sender<HeartbeatResponses>),
    Status(oneshot::Sender<String>),
    When(WhenRequest, oneshot::Sender<WhenAnswer>),
    History(HistoryRequest, oneshot::Sender<HistoryAnswer>),
    Flow(FlowRequest, oneshot::Sender<FlowAnswer>),
    Staffed(StaffedRequest, oneshot::Sender<StaffedAnswer>),
}

/// Handlers as tonic requires them, `Send`: they hand each call to a routine on the event loop's thread.
#[derive(Clone)]
struct Handlers(mpsc::Sender<Call>);

/// Calls in the queue between the handlers and the event loop; more are refused.
const MAX_QUEUED_CALLS: usize = 64;

impl Handlers {
    async fn pass<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<T>) -> Call,
    ) -> Result<tonic::Response<T>, Status> {
        let (reply, answer) = oneshot::channel();
        let mut queue = self.0.clone();
        queue
            .try_send(make(reply))
            .map_err(|_| Status::resource_exhausted("too many calls waiting"))?;
        answer
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
        self.pass(|reply| Call::Greet(r.into_inner(), reply)).await
    }
    async fn notify(
        &self,
        r: tonic::Request<JobChange>,
    ) -> Result<tonic::Response<Greeting>, Status> {
        self.pass(|reply| Call::Notify(r.into_inner(), reply)).await
    }
    async fn forward(
        &self,
        r: tonic::Request<UserRequest>,
    ) -> Result<tonic::Response<UserAnswer>, Status> {
        self.pass(|reply| Call::Forward(r.into_inner(), reply))
            .await
    }
    async fn carry(
        &self,
        r: tonic::Request<HeartbeatBatch>,
    ) -> Result<tonic::Response<HeartbeatResponses>, Status> {
        self.pass(|reply| Call::Carry(r.into_inner(), reply)).await
    }
    async fn status(
        &self,
        _: tonic::Request<StatusRequest>,
    ) -> Result<tonic::Response<StatusAnswer>, Status> {
        let text = self.pass(Call::Status).await?.into_inner();
        Ok(tonic::Response::new(StatusAnswer { text }))
    }
    async fn when(
        &self,
        r: tonic::Request<WhenRequest>,
    ) -> Result<tonic::Response<WhenAnswer>, Status> {
        self.pass(|reply| Call::When(r.into_inner(), reply)).await
    }
    async fn history(
        &self,
        r: tonic::Request<HistoryRequest>,
    ) -> Result<tonic::Response<HistoryAnswer>, Status> {
        self.pass(|reply| Call::History(r.into_inner(), reply))
            .await
    }
    async fn flow(
        &self,
        r: tonic::Request<FlowRequest>,
    ) -> Result<tonic::Response<FlowAnswer>, Status> {
        self.pass(|reply| Call::Flow(r.into_inner(), reply)).await
    }
    async fn staffed(
        &self,
        r: tonic::Request<StaffedRequest>,
    ) -> Result<tonic::Response<StaffedAnswer>, Status> {
        self.pass(|reply| Call::Staffed(r.into_inner(), reply))
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

/// Open connections; more are closed at once.
const MAX_CONNECTIONS: usize = 32;

/// Accepts calls from peers and operators, for as long as the node runs.
pub(crate) async fn serve(node: Rc<Node>) {
    let addr = node.settings.mesh_listen;
    let listener = match TcpListener::bind(addr) {
        Ok(l) => l,
        Err(e) => {
            // Safety and the users' interface do not depend on the mesh.
            warn!(error = %e, "mesh_addr {addr}: cannot listen");
            return;
        }
    };
    let (queue, mut calls) = mpsc::channel(MAX_QUEUED_CALLS);
    let local = node.clone();
    runtime::spawn_until(node.cancel.clone(), async move {
        while let Some(call) = calls.next().await {
            let node = local.clone();
            runtime::spawn_until(
                node.cancel.clone(),
                async move { answer(&node, call).await },
            );
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
            // A connection that a network partition left half-open must not stay for ever: peers open a new one.
            let _ = runtime::timeout(Micros::from_secs(600), connection).await;
            open.set(open.get() - 1);
        });
    }
}

/// The index of the peer of this name. Messages of other nodes are counted and not answered.
fn known_peer(node: &Node, name: &str) -> Option<usize> {
    let index = node.peers.index_of(name);
    if index.is_none() {
        node.peers.count_unknown_sender();
        debug!(node = name, "message of a node that is not a peer");
    }
    index
}

async fn answer(node: &Rc<Node>, call: Call) {
    match call {
        Call::Greet(greeting, reply) => answer_greeting(node, &greeting, reply),
        Call::Notify(change, reply) => answer_notification(node, &change, reply).await,
        Call::Forward(request, reply) => answer_forwarded(node, request, reply).await,
        Call::Carry(batch, reply) => answer_relayed(node, &batch, reply),
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

fn answer_greeting(node: &Node, greeting: &Greeting, reply: oneshot::Sender<Greeting>) {
    let Some(peer) = known_peer(node, &greeting.node) else {
        return;
    };
    if !node.peers.all()[peer].greeting_received(greeting, false) {
        return;
    }
    let mut answer = greeting_answer(node, greeting);
    note_load(node, peer, greeting);
    node.admission
        .gossip_received(peer, &greeting.queue_positions);
    answer.granted_loan = node.admission.grant_loan(peer, greeting.requested_loan);
    let _ = reply.send(answer);
}

async fn answer_notification(node: &Node, change: &JobChange, reply: oneshot::Sender<Greeting>) {
    if known_peer(node, &change.node).is_none() {
        return;
    }
    let _ = reply.send(greeting(node));
    // One read serves all notifications that arrive meanwhile, and the polls that wait.
    if let Some(leadership) = node.leadership() {
        let deadline = runtime::now() + USER_POLL_TIMEOUT;
        leadership.wait_until_current(deadline).await;
    }
}

async fn answer_forwarded(
    node: &Rc<Node>,
    message: UserRequest,
    reply: oneshot::Sender<UserAnswer>,
) {
    if known_peer(node, &message.node).is_none() {
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
    let _ = reply.send(UserAnswer {
        status: u32::from(response.status),
        retry_after_s: response.retry_after_s.unwrap_or(0),
        body: response.body,
    });
}

fn answer_relayed(node: &Node, batch: &HeartbeatBatch, reply: oneshot::Sender<HeartbeatResponses>) {
    if known_peer(node, &batch.node).is_none() {
        return;
    }
    let responses = batch
        .heartbeats
        .iter()
        .map(|body| heartbeats::serve_relayed(node, body))
        .collect();
    let _ = reply.send(HeartbeatResponses { responses });
}
