//! Answers to the other controllers and to operators: gRPC by `tonic`.
//!
//! The mesh says who reaches the state service, carries users' requests to a node that can answer
//! them better, and carries promises in an outage (see [`hopyoke_consistency::leader_lease`]). Without it
//! the rules hold all the same.

use crate::api::jobs;
use crate::node::{Leadership, Node};
use crate::operations::estimates;
use crate::peers::client::proto::mesh_server::{Mesh, MeshServer};
use crate::peers::client::proto::{
    FlowAnswer, FlowRequest, Greeting, HeartbeatBatch, HeartbeatResponses, HistoryAnswer,
    HistoryRequest, JobChange, StaffedAnswer, StaffedRequest, StatusAnswer, StatusRequest,
    UserAnswer, UserRequest, WhenAnswer, WhenRequest,
};
use crate::peers::client::{GREET, LocalExec};
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use hopyoke_consistency::Cursor;
use hopyoke_event_loop::http::{Method, Request};
use hopyoke_event_loop::{self as runtime, TcpListener};
use hopyoke_heartbeat::ConnectionLoad;
use hopyoke_types::{JobId, Micros, ModRevision};
use hyper::body::Incoming;
use std::cell::Cell;
use std::rc::Rc;
use tonic::Status;
use tracing::{debug, warn};

/// What this node says of itself to a peer.
fn greeting(node: &Node) -> Greeting {
    let load = node.routes.borrow_mut().own_load(
        node.leadership().is_some(),
        node.is_behind(),
        node.open.count(),
        node.most_connections(),
        runtime::now(),
    );
    let leadership = node.leadership().filter(|l| l.lease_is_valid());
    let (token, applied) = leadership.map_or((0, 0), |l| {
        let scheduler = l.scheduler.borrow();
        (scheduler.token.0, scheduler.applied().0)
    });
    Greeting {
        node: node.settings.node.clone(),
        process: node.lease_support.process,
        state_ok: node.state.answers(),
        token,
        applied,
        open: load.open,
        max_open: load.max_open,
        offloads: load.offloads,
        write_demand: node
            .leadership()
            .map_or(0.0, |_| node.admission.write_demand()),
        ..Greeting::default()
    }
}

/// A greeting to a peer that is asked for its own.
fn question(node: &Node, peer: usize) -> Greeting {
    let cursor = node
        .leadership()
        .map_or_else(Default::default, |l| l.delivered.borrow().cursor(peer));
    Greeting {
        requested_loan: node.admission.requested_loan(),
        queue_positions: node.admission.take_gossip(peer),
        delivered_process: cursor.process,
        delivered_upto: cursor.upto,
        ..greeting(node)
    }
}

/// The answer to a greeting. A leader hears of the cancellations confirmed here that it may not know of, and,
/// if the state service refuses us too, gets a promise with them: it asked, so it may rely on that from its
/// asking on. One that we sent unasked could arrive late.
fn answer_to(node: &Node, asked: &Greeting) -> Greeting {
    let mut answer = greeting(node);
    if asked.token == 0 {
        return answer;
    }
    let cursor = Cursor {
        process: asked.delivered_process,
        upto: asked.delivered_upto,
    };
    let confirmed = node.lease_support.confirmed.borrow();
    let delta = confirmed.since(
        ModRevision(asked.applied),
        cursor.in_process(node.lease_support.process),
    );
    let promise = (delta.complete && !answer.state_ok)
        .then(|| node.lease_support.promise())
        .flatten();
    answer.promise_us = promise.map_or(0, |span| span.0);
    answer.cancelled_upto = delta.upto;
    answer.cancelled = delta.jobs.iter().map(ToString::to_string).collect();
    answer
}

/// Greets one peer every second or so.
pub async fn greet(node: Rc<Node>, peer: usize) {
    loop {
        let mine = question(&node, peer);
        let link = &node.peers.0[peer];
        let sent = runtime::now();
        let answer = link
            .call(GREET, |mut c| async move { c.greet(mine).await })
            .await;
        if let Some(answer) = answer
            && link.note(&answer, true)
        {
            note_load(&node, peer, &answer);
            node.admission
                .loan_received(peer, answer.granted_loan, sent);
            if answer.token > 0 {
                node.admission
                    .write_demand_received(answer.write_demand, sent);
            }
            if let Some(leadership) = node.leadership() {
                heed(&node, &leadership, peer, sent, &answer);
            }
        }
        // Promises are short: they are asked for again well before they end.
        let pause = match (node.state.answers(), node.admission.is_overloaded()) {
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

/// A leader takes what a peer answered into account: first the cancellations, then the promise that rests on
/// its knowing them. It rests as well on the leader's knowing of what was confirmed at its own node, before it
/// led. (Guards `ran_cancelled`. Scenario gap_fresh_leader.)
fn heed(node: &Node, leadership: &Leadership, peer: usize, sent: Micros, answer: &Greeting) {
    let now = runtime::now();
    let own = node
        .lease_support
        .confirmed
        .borrow()
        .covers(leadership.scheduler.borrow().applied());
    let span = (answer.promise_us > 0 && own).then_some(Micros(answer.promise_us));
    if !answer.cancelled.is_empty() {
        let mut scheduler = leadership.scheduler.borrow_mut();
        for id in answer.cancelled.iter().filter_map(|id| JobId::parse(id)) {
            // Also of jobs that we have not heard of: news of them may be on its way.
            scheduler.job_dropped(&id, now);
        }
        leadership.wakeup.notify();
    }
    leadership
        .delivered
        .borrow_mut()
        .took(peer, answer.process, answer.cancelled_upto);
    leadership
        .leader_lease
        .borrow_mut()
        .answered(peer, sent, span, now);
}

/// A request that reached us over the mesh, with where its answer goes.
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

/// tonic wants handlers that can be sent between threads; ours hand each call to a local routine.
#[derive(Clone)]
struct Handlers(mpsc::Sender<Call>);

const MOST_WAITING: usize = 64;

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
    let (queue, mut calls) = mpsc::channel(MOST_WAITING);
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
        if open.get() >= MOST_CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (open, queue) = (open.clone(), queue.clone());
        runtime::spawn_until(node.cancel.clone(), async move {
            let connection = hyper::server::conn::http2::Builder::new(LocalExec)
                .max_concurrent_streams(32)
                .max_header_list_size(8 * 1024)
                .serve_connection(stream, HyperService(MeshServer::new(Handlers(queue))));
            // A connection that a cut left behind must not stay for ever: peers make a new one.
            let _ = runtime::timeout(Micros::from_secs(600), connection).await;
            open.set(open.get() - 1);
        });
    }
}

/// The place of a node among our peers. What others send is counted and gets no answer.
fn known(node: &Node, name: &str) -> Option<usize> {
    let place = node.peers.place_of(name);
    if place.is_none() {
        node.peers.refuse();
        debug!(
            node = name,
            "a message of a node that is not among `others`"
        );
    }
    place
}

async fn answer(node: &Rc<Node>, call: Call) {
    match call {
        Call::Greet(greeting, reply) => {
            let Some(peer) = known(node, &greeting.node) else {
                return;
            };
            if !node.peers.0[peer].note(&greeting, false) {
                return;
            }
            let mut answer = answer_to(node, &greeting);
            note_load(node, peer, &greeting);
            node.admission
                .gossip_received(peer, &greeting.queue_positions);
            answer.granted_loan = node.admission.grant_loan(peer, greeting.requested_loan);
            let _ = reply.send(answer);
        }
        Call::Notify(news, reply) => {
            if known(node, &news.node).is_none() {
                return;
            }
            let _ = reply.send(greeting(node));
            // One question serves all that is hinted at meanwhile, and the polls that wait.
            if let Some(leadership) = node.leadership() {
                leadership.is_current().await;
            }
        }
        Call::Forward(message, reply) => {
            if known(node, &message.node).is_none() {
                return;
            }
            let method = match message.method.as_str() {
                "GET" => Method::Get,
                "POST" => Method::Post,
                _ => return,
            };
            let request = Request::new(method, message.path, message.body);
            let Some(rest) = jobs::below_jobs(&request.path) else {
                return;
            };
            let r = jobs::own_answer(node, rest, &request).await;
            let retry_after_s = r.retry_after_s.unwrap_or(0);
            let _ = reply.send(UserAnswer {
                status: u32::from(r.status),
                body: r.body,
                retry_after_s,
            });
        }
        Call::Carry(message, reply) => {
            if known(node, &message.node).is_none() {
                return;
            }
            let answers = message
                .heartbeats
                .iter()
                .map(|body| crate::agents::heartbeats::carried(node, body))
                .collect();
            let _ = reply.send(HeartbeatResponses { answers });
        }
        Call::Status(reply) => {
            let _ = reply.send(crate::operations::status::text(node));
        }
        Call::When(request, reply) => {
            let _ = reply.send(estimates::when(node, request).await);
        }
        Call::History(request, reply) => {
            let _ = reply.send(estimates::history(node, request).await);
        }
        Call::Flow(request, reply) => {
            let _ = reply.send(crate::workflows::calls::answer(node, request).await);
        }
        Call::Staffed(request, reply) => {
            let _ = reply.send(crate::operations::staffed_hours::answer(node, request).await);
        }
    }
}
