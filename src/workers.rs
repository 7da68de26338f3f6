//! Workers' reports, and orders sent straight to workers.

use crate::http::{Client, ClientError, Method, Request, Response};
use crate::ids::{MachineId, Token};
use crate::node::{Leading, Node};
use crate::runtime;
use crate::time::Micros;
use crate::wire::worker::{DirectOrders, Order, Orders, Redirect, Report};
use crate::wire::{decode, encode};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, warn};

/// `POST /hello`
pub fn report(node: &Rc<Node>, request: &Request) -> Response {
    if request.method != Method::Post {
        return Response::empty(405);
    }
    let Some(leading) = node.leading() else { return redirect(node) };
    // Not entitled to act: the worker tries the next node. (Guards `ran_twice`: an answer now
    // could renew a lease that the next holder counts as lapsed.)
    if !leading.entitled() {
        return Response::empty(503);
    }
    let report: Report = match decode(&request.body) {
        Ok(r) => r,
        Err(e) => {
            warn!(error = %e, "unreadable report");
            return Response::empty(400);
        }
    };
    let now = runtime::now();
    leading.last_report.set(now);
    let mut core = leading.core.borrow_mut();
    if report.token > core.token {
        // Somebody has been granted more than we know of.
        warn!(machine = %report.machine, token = report.token.0, "worker has seen a higher token");
        return Response::empty(503);
    }
    let answer = core.report(&report, now);
    leading.bell.ring();
    if core.has_writes() {
        leading.write_bell.ring();
    }
    Response::of(200, &Orders { token: answer.token, orders: answer.orders })
}

fn redirect(node: &Node) -> Response {
    let leader = node.leader.borrow();
    let other = leader.as_deref().filter(|l| *l != node.settings.node);
    Response::of(421, &Redirect { report_to: other })
}

/// Connections to workers.
#[derive(Default)]
pub struct Direct {
    clients: RefCell<BTreeMap<SocketAddr, Rc<Client>>>,
}

const DIRECT_LIMIT: Micros = Micros::from_secs(3);
const MOST_CLIENTS: usize = 256;

impl Direct {
    fn client(&self, addr: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        if clients.len() >= MOST_CLIENTS && !clients.contains_key(&addr) {
            clients.clear();
        }
        clients.entry(addr).or_insert_with(|| Rc::new(Client::new(addr))).clone()
    }

    /// Sends orders to a worker and tells the core how that ended.
    pub async fn send(
        &self,
        leading: &Leading,
        token: Token,
        machine: MachineId,
        address: SocketAddr,
        session: u64,
        orders: Vec<Order>,
    ) {
        if !leading.entitled() {
            leading.core.borrow_mut().direct_failed(&machine, false, runtime::now());
            return;
        }
        let body = encode(&DirectOrders { token, session, orders });
        let result = self.client(address).send(Method::Post, "/commands", &body, DIRECT_LIMIT).await;
        let now = runtime::now();
        let mut core = leading.core.borrow_mut();
        match result {
            Ok(r) if matches!(r.status, 200 | 409) => {
                let report: Option<Report> = decode(&r.body).ok();
                core.direct_answer(&machine, r.status == 200, report.as_ref(), now);
            }
            Ok(r) => {
                warn!(machine = %machine, status = r.status, "direct orders refused");
                core.direct_failed(&machine, false, now);
            }
            Err(e) => {
                debug!(machine = %machine, error = %e, "direct orders failed");
                core.direct_failed(&machine, !matches!(e, ClientError::NotSent(_)), now);
                self.clients.borrow_mut().remove(&address);
            }
        }
    }
}
