//! Tasks of connections that take a bounded share of a thread while their peers send without end.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::time::Sleep;

use crate::fair_stream::InputFlow;

/// Work of a connection whose bytes are always there, after which it pauses. Passing on a megabyte takes less.
const WORK_PER_PAUSE: Duration = Duration::from_millis(2);

/// Length of the pause, as a multiple of the work before it: such a connection takes a tenth of the thread.
const PAUSE_PER_WORK: u32 = 9;

/// Longest pause: a connection that is given up must be closed soon after.
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// The future of a connection, paused at times while its input is constant. A task that merely gives others their
/// turn would still take all the time that they leave, and as much as each of them.
pub struct FairTask<F> {
    task: F,
    flow: InputFlow,
    worked: Duration,
    pause: Option<Pin<Box<Sleep>>>,
}

impl<F> FairTask<F> {
    /// Wraps the future of a connection whose stream has this flow.
    pub fn new(task: F, flow: InputFlow) -> Self {
        Self {
            task,
            flow,
            worked: Duration::ZERO,
            pause: None,
        }
    }

    /// The future.
    pub fn get_mut(&mut self) -> &mut F {
        &mut self.task
    }

    /// Unwraps the future.
    pub fn into_inner(self) -> F {
        self.task
    }
}

impl<F: Future + Unpin> Future for FairTask<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let this = &mut *self;
        if let Some(pause) = &mut this.pause {
            std::task::ready!(pause.as_mut().poll(context));
            this.pause = None;
        }
        let began = Instant::now();
        let polled = Pin::new(&mut this.task).poll(context);
        if !this.flow.is_constant() {
            this.worked = Duration::ZERO;
            return polled;
        }
        this.worked += began.elapsed();
        if polled.is_pending() && this.worked >= WORK_PER_PAUSE {
            let length = (this.worked * PAUSE_PER_WORK).min(MAX_PAUSE);
            let mut pause = Box::pin(tokio::time::sleep(length));
            this.worked = Duration::ZERO;
            // The pause wakes the task; if it is over already, the task is woken as it is.
            if pause.as_mut().poll(context).is_pending() {
                this.pause = Some(pause);
            }
        }
        polled
    }
}
