//! Runs of a test on virtual time.

use tokio::runtime::Builder;

/// Runs a future on a clock that stands still while anything is to be done.
pub(crate) fn run_paused<R>(run: R) -> R::Output
where
    R: Future,
{
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(run)
}
