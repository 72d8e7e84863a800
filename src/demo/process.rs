//! A part of the demo that can be killed on its own.

use std::future::Future;

use eyre::{Result, WrapErr};
use tokio::runtime::{Builder, Runtime};

/// Threads of each part.
const THREADS: usize = 2;

/// Something that runs on a runtime of its own.
pub struct Process<T> {
    runtime: Runtime,
    value: T,
}

impl<T: Send + 'static> Process<T> {
    /// Starts a runtime and runs the start-up on it.
    ///
    /// # Errors
    /// Fails if the runtime or the start-up fails.
    pub fn start<F>(start_up: F) -> Result<Self>
    where
        F: Future<Output = Result<T>> + Send + 'static,
    {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()
            .wrap_err("cannot start a runtime")?;
        let value = runtime.block_on(start_up)?;
        Ok(Self { runtime, value })
    }

    /// Returns what runs.
    pub fn get(&self) -> &T {
        &self.value
    }

    /// Ends everything at once, without any farewell.
    pub fn kill(self) {
        self.runtime.shutdown_background();
    }

    /// Stops in order.
    pub fn close<F>(self, stop: impl FnOnce(T) -> F)
    where
        F: Future<Output = ()>,
    {
        self.runtime.block_on(stop(self.value));
        self.runtime.shutdown_background();
    }
}
