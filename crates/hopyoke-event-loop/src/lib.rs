//! A single-threaded executor on `mio`: routines are futures, woken by sockets and timers.
//!
//! There is one runtime per process (thread). Every connection and every long-lived duty is a
//! routine of its own; a [`CancellationToken`] token ends a routine in an orderly way.

mod cancel;
pub mod http;
mod net;

pub use cancel::CancellationToken;
pub use net::{TcpListener, TcpStream};

use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Routine = Pin<Box<dyn Future<Output = ()>>>;

/// Wakers must be `Send`, so the queue of ready routines is shared behind a lock that is never
/// contended.
#[derive(Default)]
struct ReadyQueue(Mutex<VecDeque<usize>>);

impl ReadyQueue {
    fn push(&self, id: usize) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push_back(id);
    }
    fn pop(&self) -> Option<usize> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front()
    }
    fn len(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

struct RoutineWaker {
    id: usize,
    queued: AtomicBool,
    ready: Arc<ReadyQueue>,
}

impl Wake for RoutineWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }
    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::Relaxed) {
            self.ready.push(self.id);
        }
    }
}

struct Entry {
    /// Taken out while it is being polled.
    future: Option<Routine>,
    waker: Arc<RoutineWaker>,
}

/// What waits on one socket.
#[derive(Default)]
pub(crate) struct IoWaits {
    pub read: Option<Waker>,
    pub write: Option<Waker>,
}

pub(crate) struct Inner {
    start: Instant,
    routines: RefCell<slab::Slab<Entry>>,
    ready: Arc<ReadyQueue>,
    timers: RefCell<BTreeMap<(Micros, u64), Waker>>,
    next_timer: Cell<u64>,
    pub(crate) registry: mio::Registry,
    pub(crate) io: RefCell<slab::Slab<IoWaits>>,
}

thread_local! {
    static CURRENT: RefCell<Option<Rc<Inner>>> = const { RefCell::new(None) };
}

pub(crate) fn inner() -> Rc<Inner> {
    CURRENT
        .with(|c| c.borrow().clone())
        .expect("used outside of a running runtime")
}

/// Runs `main` and everything that it spawns until `main` ends.
pub fn run<F: Future<Output = ()> + 'static>(main: F) -> io::Result<()> {
    let mut poll = mio::Poll::new()?;
    let inner = Rc::new(Inner {
        start: Instant::now(),
        routines: RefCell::default(),
        ready: Arc::default(),
        timers: RefCell::default(),
        next_timer: Cell::new(0),
        registry: poll.registry().try_clone()?,
        io: RefCell::default(),
    });
    CURRENT.with(|c| *c.borrow_mut() = Some(inner.clone()));
    let finished = Rc::new(Cell::new(false));
    let flag = finished.clone();
    spawn(async move {
        main.await;
        flag.set(true);
    });
    let mut events = mio::Events::with_capacity(256);
    while !finished.get() {
        inner.run_ready();
        if finished.get() {
            break;
        }
        let timeout = if inner.ready.len() > 0 {
            Some(Duration::ZERO)
        } else {
            inner.until_next_timer()
        };
        match poll.poll(&mut events, timeout) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(e) => return Err(e),
        }
        for event in &events {
            let mut io = inner.io.borrow_mut();
            if let Some(waits) = io.get_mut(event.token().0) {
                let hangup = event.is_error() || event.is_read_closed() || event.is_write_closed();
                if (event.is_readable() || hangup)
                    && let Some(w) = waits.read.take()
                {
                    w.wake();
                }
                if (event.is_writable() || hangup)
                    && let Some(w) = waits.write.take()
                {
                    w.wake();
                }
            }
        }
        inner.fire_timers();
    }
    let left = std::mem::take(&mut *inner.routines.borrow_mut());
    drop(left);
    CURRENT.with(|c| *c.borrow_mut() = None);
    Ok(())
}

impl Inner {
    /// Polls what is ready now; what becomes ready meanwhile waits for the next turn, so that
    /// sockets and timers are never starved.
    fn run_ready(&self) {
        for _ in 0..self.ready.len() {
            let Some(id) = self.ready.pop() else { return };
            let taken = self.routines.borrow_mut().get_mut(id).and_then(|e| {
                e.waker.queued.store(false, Ordering::Relaxed);
                e.future.take().map(|f| (f, e.waker.clone()))
            });
            let Some((mut future, waker)) = taken else {
                continue;
            };
            let waker = Waker::from(waker);
            let done = future
                .as_mut()
                .poll(&mut Context::from_waker(&waker))
                .is_ready();
            if done {
                // Dropped outside of the borrow: a destructor may spawn or cancel timers.
                drop(future);
                self.routines.borrow_mut().remove(id);
            } else if let Some(e) = self.routines.borrow_mut().get_mut(id) {
                e.future = Some(future);
            }
        }
    }

    fn until_next_timer(&self) -> Option<Duration> {
        let next = self.timers.borrow().keys().next().map(|k| k.0)?;
        Some(Duration::from_micros(next.saturating_sub(self.now()).0))
    }

    fn fire_timers(&self) {
        let now = self.now();
        loop {
            let due = {
                let mut timers = self.timers.borrow_mut();
                match timers.first_key_value() {
                    Some((k, _)) if k.0 <= now => timers.pop_first().map(|(_, w)| w),
                    _ => None,
                }
            };
            match due {
                Some(w) => w.wake(),
                None => return,
            }
        }
    }

    fn now(&self) -> Micros {
        Micros(self.start.elapsed().as_micros() as u64)
    }
}

/// The steady clock, from the start of the runtime.
pub fn now() -> Micros {
    inner().now()
}

/// The time of day since 1970; it may be off by the settings' `skew_ms`.
pub fn time_of_day() -> Micros {
    Micros(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64),
    )
}

/// Starts a routine.
pub fn spawn<F: Future<Output = ()> + 'static>(future: F) {
    let rt = inner();
    let id = {
        let mut routines = rt.routines.borrow_mut();
        let slot = routines.vacant_entry();
        let id = slot.key();
        let waker = Arc::new(RoutineWaker {
            id,
            queued: AtomicBool::new(true),
            ready: rt.ready.clone(),
        });
        slot.insert(Entry {
            future: Some(Box::pin(future)),
            waker,
        });
        id
    };
    rt.ready.push(id);
}

/// Starts a routine that ends, at its next wait, when `cancel` is cancelled.
pub fn spawn_until<F: Future<Output = ()> + 'static>(cancel: CancellationToken, future: F) {
    spawn(async move {
        cancel.run(future).await;
    });
}

/// Waits until the steady clock reaches `deadline`.
pub fn sleep_until(deadline: Micros) -> Sleep {
    Sleep { deadline, id: None }
}

/// Waits for a span of time.
pub fn sleep(span: Micros) -> Sleep {
    sleep_until(now() + span)
}

/// See [`sleep_until`].
pub struct Sleep {
    deadline: Micros,
    id: Option<u64>,
}

impl Sleep {
    fn forget(&mut self) {
        if let Some(id) = self.id.take() {
            CURRENT.with(|c| {
                if let Some(rt) = &*c.borrow() {
                    rt.timers.borrow_mut().remove(&(self.deadline, id));
                }
            });
        }
    }

    /// Moves the deadline; the sleeper must be polled again.
    pub fn reset(&mut self, deadline: Micros) {
        self.forget();
        self.deadline = deadline;
    }
}

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let rt = inner();
        if rt.now() >= self.deadline {
            self.forget();
            return Poll::Ready(());
        }
        let id = match self.id {
            Some(id) => id,
            None => {
                let id = rt.next_timer.get();
                rt.next_timer.set(id + 1);
                self.id = Some(id);
                id
            }
        };
        rt.timers
            .borrow_mut()
            .insert((self.deadline, id), cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.forget();
    }
}

/// The time for something ran out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("timed out")]
pub struct TimedOut;

/// Gives `future` at most `span`.
pub async fn timeout<F: Future>(span: Micros, future: F) -> Result<F::Output, TimedOut> {
    use futures_util::future::{Either, select};
    let future = std::pin::pin!(future);
    let timer = std::pin::pin!(sleep(span));
    match select(future, timer).await {
        Either::Left((out, _)) => Ok(out),
        Either::Right(_) => Err(TimedOut),
    }
}

/// A bell that one routine waits for and others ring; a ring while nobody waits is kept.
#[derive(Clone, Default)]
pub struct Notify(Rc<NotifyInner>);

#[derive(Default)]
struct NotifyInner {
    rung: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Notify {
    pub fn notify(&self) {
        self.0.rung.set(true);
        if let Some(w) = self.0.waker.borrow_mut().take() {
            w.wake();
        }
    }

    /// Waits for a ring.
    pub async fn wait(&self) {
        std::future::poll_fn(|cx| {
            if self.0.rung.replace(false) {
                return Poll::Ready(());
            }
            *self.0.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Waits for a ring, at most until `deadline`.
    pub async fn wait_until(&self, deadline: Micros) {
        let span = deadline - now();
        let _ = timeout(span, self.wait()).await;
    }
}
