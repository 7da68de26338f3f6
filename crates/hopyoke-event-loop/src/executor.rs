//! The executor: polls routines that are ready, and waits for sockets and timers in between.

use crate::cancel::CancellationToken;
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Wake, Waker};
use std::time::{Duration, Instant};

type BoxedRoutine = Pin<Box<dyn Future<Output = ()>>>;

/// Keys of routines to poll. Wakers must be `Send`, so the queue is behind a lock, which is never contended.
#[derive(Default)]
struct ReadyQueue(Mutex<VecDeque<usize>>);

impl ReadyQueue {
    fn push(&self, key: usize) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push_back(key);
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
    key: usize,
    /// In the ready queue already; a second wake-up adds nothing.
    is_queued: AtomicBool,
    ready: Arc<ReadyQueue>,
}

impl Wake for RoutineWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.is_queued.swap(true, Ordering::Relaxed) {
            self.ready.push(self.key);
        }
    }
}

struct Routine {
    /// Taken out while it is being polled.
    future: Option<BoxedRoutine>,
    waker: Arc<RoutineWaker>,
}

/// Wakers of the routines that wait for one socket's readiness.
#[derive(Default)]
pub(crate) struct SocketWakers {
    pub(crate) read: Option<Waker>,
    pub(crate) write: Option<Waker>,
}

/// The state of one thread's executor.
pub(crate) struct Runtime {
    started_at: Instant,
    routines: RefCell<slab::Slab<Routine>>,
    ready: Arc<ReadyQueue>,
    /// By deadline and timer id.
    timers: RefCell<BTreeMap<(Micros, u64), Waker>>,
    next_timer_id: Cell<u64>,
    pub(crate) registry: mio::Registry,
    /// By the socket's `mio::Token`.
    pub(crate) sockets: RefCell<slab::Slab<SocketWakers>>,
}

thread_local! {
    static CURRENT: RefCell<Option<Rc<Runtime>>> = const { RefCell::new(None) };
}

/// The running executor of this thread.
///
/// # Panics
/// If none is running.
pub(crate) fn runtime() -> Rc<Runtime> {
    try_runtime().expect("used outside of a running event loop")
}

/// The running executor of this thread, if there is one: destructors may run after it has ended.
pub(crate) fn try_runtime() -> Option<Rc<Runtime>> {
    CURRENT.with(|current| current.borrow().clone())
}

/// Runs `main` and all routines that it spawns; when `main` completes, the others are dropped.
///
/// # Errors
/// If the operating system's poll cannot be created, or fails other than by an interrupt.
pub fn run<F: Future<Output = ()> + 'static>(main: F) -> io::Result<()> {
    let mut poll = mio::Poll::new()?;
    let runtime = Rc::new(Runtime {
        started_at: Instant::now(),
        routines: RefCell::default(),
        ready: Arc::default(),
        timers: RefCell::default(),
        next_timer_id: Cell::new(0),
        registry: poll.registry().try_clone()?,
        sockets: RefCell::default(),
    });
    CURRENT.with(|current| *current.borrow_mut() = Some(runtime.clone()));
    let finished = Rc::new(Cell::new(false));
    let main_finished = finished.clone();
    spawn(async move {
        main.await;
        main_finished.set(true);
    });
    let mut events = mio::Events::with_capacity(256);
    while !finished.get() {
        runtime.run_ready();
        if finished.get() {
            break;
        }
        match poll.poll(&mut events, runtime.poll_timeout()) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(e) => return Err(e),
        }
        runtime.wake_sockets(&events);
        runtime.fire_timers();
    }
    // Dropped outside of the borrow: destructors may cancel timers or spawn.
    let unfinished = std::mem::take(&mut *runtime.routines.borrow_mut());
    drop(unfinished);
    CURRENT.with(|current| *current.borrow_mut() = None);
    Ok(())
}

/// Starts a routine.
///
/// # Panics
/// Outside of [`run`].
pub fn spawn<F: Future<Output = ()> + 'static>(future: F) {
    let runtime = runtime();
    let key = {
        let mut routines = runtime.routines.borrow_mut();
        let vacant = routines.vacant_entry();
        let key = vacant.key();
        let waker = Arc::new(RoutineWaker {
            key,
            is_queued: AtomicBool::new(true),
            ready: runtime.ready.clone(),
        });
        vacant.insert(Routine {
            future: Some(Box::pin(future)),
            waker,
        });
        key
    };
    runtime.ready.push(key);
}

/// Starts a routine that ends, at its next suspension point, when `cancel` is cancelled.
///
/// # Panics
/// Outside of [`run`].
pub fn spawn_until<F: Future<Output = ()> + 'static>(cancel: CancellationToken, future: F) {
    spawn(async move {
        cancel.run(future).await;
    });
}

impl Runtime {
    /// Polls what is ready now; what becomes ready meanwhile waits for the next pass, so that
    /// sockets and timers are served in between.
    fn run_ready(&self) {
        for _ in 0..self.ready.len() {
            let Some(key) = self.ready.pop() else { return };
            let taken = self.routines.borrow_mut().get_mut(key).and_then(|routine| {
                routine.waker.is_queued.store(false, Ordering::Relaxed);
                routine.future.take().map(|f| (f, routine.waker.clone()))
            });
            let Some((mut future, waker)) = taken else {
                continue;
            };
            let waker = Waker::from(waker);
            let is_finished = future
                .as_mut()
                .poll(&mut Context::from_waker(&waker))
                .is_ready();
            if is_finished {
                // Dropped outside of the borrow: a destructor may spawn or cancel timers.
                drop(future);
                self.routines.borrow_mut().remove(key);
            } else if let Some(routine) = self.routines.borrow_mut().get_mut(key) {
                routine.future = Some(future);
            }
        }
    }

    /// How long the poll may block; `None` without limit.
    fn poll_timeout(&self) -> Option<Duration> {
        if self.ready.len() > 0 {
            return Some(Duration::ZERO);
        }
        let deadline = self.timers.borrow().keys().next().map(|key| key.0)?;
        Some(Duration::from_micros(deadline.saturating_sub(self.now()).0))
    }

    /// Wakes the routines whose sockets are ready; an error or a hang-up is for readers and writers to find.
    fn wake_sockets(&self, events: &mio::Events) {
        for event in events {
            let mut sockets = self.sockets.borrow_mut();
            let Some(wakers) = sockets.get_mut(event.token().0) else {
                continue;
            };
            let hung_up = event.is_error() || event.is_read_closed() || event.is_write_closed();
            if (event.is_readable() || hung_up)
                && let Some(waker) = wakers.read.take()
            {
                waker.wake();
            }
            if (event.is_writable() || hung_up)
                && let Some(waker) = wakers.write.take()
            {
                waker.wake();
            }
        }
    }

    fn fire_timers(&self) {
        let now = self.now();
        loop {
            let expired = {
                let mut timers = self.timers.borrow_mut();
                match timers.first_key_value() {
                    Some(((deadline, _), _)) if *deadline <= now => {
                        timers.pop_first().map(|(_, waker)| waker)
                    }
                    _ => None,
                }
            };
            match expired {
                Some(waker) => waker.wake(),
                None => return,
            }
        }
    }

    /// Time since the runtime's start.
    pub(crate) fn now(&self) -> Micros {
        Micros(self.started_at.elapsed().as_micros() as u64)
    }

    pub(crate) fn new_timer_id(&self) -> u64 {
        let id = self.next_timer_id.get();
        self.next_timer_id.set(id + 1);
        id
    }

    pub(crate) fn set_timer(&self, deadline: Micros, id: u64, waker: Waker) {
        self.timers.borrow_mut().insert((deadline, id), waker);
    }

    pub(crate) fn remove_timer(&self, deadline: Micros, id: u64) {
        self.timers.borrow_mut().remove(&(deadline, id));
    }
}
