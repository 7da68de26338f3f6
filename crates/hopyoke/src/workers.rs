//! Workers' reports, and orders sent straight to workers.

use crate::node::{Leading, Node};
use hopyoke_runtime as runtime;
use hopyoke_runtime::http::{Client, ClientError, Method, Request, Response};
use hopyoke_types::Micros;
use hopyoke_types::{MachineId, Token};
use hopyoke_wire::worker::{DirectOrders, Order, Orders, Redirect, Report};
use hopyoke_wire::{decode, encode};
use std::cell::{Cell, RefCell};
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
    let answer = leading.planning(node, &mut core, |core| core.report(&report, now));
    // A report without news leaves nothing to do.
    if core.next_due(now) <= now || core.has_actions() {
        leading.bell.ring();
    }
    if core.has_writes() {
        leading.write_bell.ring();
    }
    tell_starts(
        &report.machine,
        answer.token,
        report.session,
        report.seq,
        &answer.orders,
        "starts with an answer",
    );
    Response::of(200, &Orders { token: answer.token, orders: answer.orders })
}

/// A task's whole story can be told from the log at `debug`: which start went where, by which holder.
fn tell_starts(machine: &MachineId, token: Token, session: u64, seq: u64, orders: &[Order], how: &str) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let starts: Vec<String> = orders
        .iter()
        .filter_map(|o| match o {
            Order::Start { task, attempt } => Some(format!("{task}@{attempt}")),
            _ => None,
        })
        .collect();
    if !starts.is_empty() {
        debug!(machine = %machine, token = token.0, session, seq, starts = ?starts, "{how}");
    }
}

fn redirect(node: &Node) -> Response {
    let leader = node.leader.borrow();
    let other = leader.as_deref().filter(|l| *l != node.settings.node);
    Response::of(421, &Redirect { report_to: other })
}

/// Connections to workers.
pub struct Direct {
    /// By address, with the number of their latest use.
    clients: RefCell<BTreeMap<SocketAddr, (u64, Rc<Client>)>>,
    uses: Cell<u64>,
    most: usize,
}

const DIRECT_LIMIT: Micros = Micros::from_secs(3);

impl Direct {
    /// Of `max_connections` sockets, workers' and users' own connections may take three quarters;
    /// half of what is left may be kept open to workers.
    pub fn new(max_connections: usize) -> Direct {
        Direct { clients: RefCell::default(), uses: Cell::new(0), most: (max_connections / 8).max(8) }
    }

    fn client(&self, addr: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        let used = self.uses.get() + 1;
        self.uses.set(used);
        if clients.len() >= self.most && !clients.contains_key(&addr) {
            // The eighth part that was used longest ago goes, so that this is seldom done.
            let old = used.saturating_sub(self.most as u64 * 7 / 8);
            clients.retain(|_, (last, _)| *last > old);
        }
        let entry = clients.entry(addr).or_insert_with(|| (used, Rc::new(Client::new(addr))));
        entry.0 = used;
        entry.1.clone()
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
        tell_starts(&machine, token, session, 0, &orders, "starts by direct orders");
        let body = encode(&DirectOrders { token, session, orders });
        // Asked again once the connection stands: a process that is behind may get there long after
        // the next holder was granted its token.
        let may = || leading.entitled();
        let client = self.client(address);
        let result = client.send_while(may, Method::Post, "/commands", &body, DIRECT_LIMIT).await;
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
