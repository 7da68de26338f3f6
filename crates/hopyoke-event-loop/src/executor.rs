//! The executor, which polls ready routines and waits for sockets and timers in between.

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

/// Keys of routines to poll. Wakers must be `Send`, so the queue needs a lock, which is never contended.
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
    /// Whether the routine is in the ready queue already.
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
    /// `None` while it is being polled.
    future: Option<BoxedRoutine>,
    waker: Arc<RoutineWaker>,
}

/// Wakers of the routines that wait for one socket to become readable or writable.
#[derive(Default)]
pub(crate) struct SocketWakers {
    pub(crate) read: Option<Waker>,
    pub(crate) write: Option<Waker>,
}

/// State of one thread's executor.
pub(crate) struct Runtime {
    started_at: Instant,
    routines: RefCell<slab::Slab<Routine>>,
    ready: Arc<ReadyQueue>,
    /// Wakers by deadline and timer ID.
    timers: RefCell<BTreeMap<(Micros, u64), Waker>>,
    next_timer_id: Cell<u64>,
    pub(crate) registry: mio::Registry,
    /// Wakers by the socket's `mio::Token`.
    pub(crate) sockets: RefCell<slab::Slab<SocketWakers>>,
}

thread_local! {
    static CURRENT: RefCell<Option<Rc<Runtime>>> = const { RefCell::new(None) };
}

/// Returns the running executor of this thread.
///
/// # Panics
/// Panics if none is running.
pub(crate) fn runtime() -> Rc<Runtime> {
    try_runtime().expect("used outside of a running event loop")
}

/// Returns the running executor of this thread, or `None`, as destructors may run after it has ended.
pub(crate) fn try_runtime() -> Option<Rc<Runtime>> {
    CURRENT.with(|current| current.borrow().clone())
}

/// Runs `main` and all routines that it spawns. When `main` completes, the others are dropped.
///
/// # Errors
/// Returns an error if the operating system's poll can't be created, or fails other than by an interrupt.
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
    // Dropped outside of the borrow, as destructors may cancel timers or spawn.
    let unfinished = std::mem::take(&mut *runtime.routines.borrow_mut());
    drop(unfinished);
    CURRENT.with(|current| *current.borrow_mut() = None);
    Ok(())
}

/// Spawns a routine.
///
/// # Panics
/// Panics outside of [`run`].
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

/// Spawns a routine that is dropped at its next suspension point after `cancel` is cancelled.
///
/// # Panics
/// Panics outside of [`run`].
pub fn spawn_until<F: Future<Output = ()> + 'static>(cancel: CancellationToken, future: F) {
    spawn(async move {
        cancel.run(future).await;
    });
}

impl Runtime {
    /// Polls the routines that are ready now. Those that become ready meanwhile wait for the next pass, so that they
    /// can't starve sockets and timers.
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
                // Dropped outside of the borrow, as a destructor may spawn or cancel timers.
                drop(future);
                self.routines.borrow_mut().remove(key);
            } else if let Some(routine) = self.routines.borrow_mut().get_mut(key) {
                routine.future = Some(future);
            }
        }
    }

    /// Returns how long the poll may block, or `None` if there is no limit.
    fn poll_timeout(&self) -> Option<Duration> {
        if self.ready.len() > 0 {
            return Some(Duration::ZERO);
        }
        let deadline = self.timers.borrow().keys().next().map(|key| key.0)?;
        Some(Duration::from_micros(deadline.saturating_sub(self.now()).0))
    }

    /// Wakes the routines whose sockets are ready. After an error or hang-up, both readers and writers are woken, whose
    /// next system call returns the error.
    fn wake_sockets(&self, events: &mio::Events) {
        for event in events {
            let mut sockets = self.sockets.borrow_mut();
            let Some(wakers) = sockets.get_mut(event.token().0) else {
                continue;
            };
            let is_hung_up = event.is_error() || event.is_read_closed() || event.is_write_closed();
            if (event.is_readable() || is_hung_up)
                && let Some(waker) = wakers.read.take()
            {
                waker.wake();
            }
            if (event.is_writable() || is_hung_up)
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

    /// Returns the time since the start of the runtime.
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
