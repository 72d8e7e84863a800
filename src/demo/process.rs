//! A component of the demo that can be killed separately.

use std::future::Future;

use eyre::{Result, WrapErr};
use tokio::runtime::{Builder, Runtime};

/// Worker threads of each component's runtime.
const THREADS_PER_RUNTIME: usize = 2;

/// A component with its own async runtime.
pub struct Process<T> {
    runtime: Runtime,
    component: T,
}

impl<T: Send + 'static> Process<T> {
    /// Creates a runtime and starts the component on it.
    ///
    /// # Errors
    /// Fails if the runtime cannot be created or the component cannot start.
    pub fn start<F>(start_up: F) -> Result<Self>
    where
        F: Future<Output = Result<T>> + Send + 'static,
    {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS_PER_RUNTIME)
            .enable_all()
            .build()
            .wrap_err("cannot start a runtime")?;
        let component = runtime.block_on(start_up)?;
        Ok(Self { runtime, component })
    }

    /// Returns the component.
    pub fn get(&self) -> &T {
        &self.component
    }

    /// Shuts down the runtime immediately, so that peers receive no notification.
    pub fn kill(self) {
        self.runtime.shutdown_background();
    }

    /// Shuts down the component gracefully, then the runtime.
    pub fn close<F>(self, stop: impl FnOnce(T) -> F)
    where
        F: Future<Output = ()>,
    {
        self.runtime.block_on(stop(self.component));
        self.runtime.shutdown_background();
    }
}
