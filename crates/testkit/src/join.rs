//! Joins a number of futures.

use std::task::Poll;

/// Polls all futures concurrently and returns their results in the order of the futures.
pub async fn join_all<F: Future>(futures: Vec<F>) -> Vec<F::Output> {
    let mut pinned: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut results: Vec<Option<F::Output>> = pinned.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        for (future, result) in pinned.iter_mut().zip(results.iter_mut()) {
            if result.is_none()
                && let Poll::Ready(value) = future.as_mut().poll(context)
            {
                *result = Some(value);
            }
        }
        if results.iter().all(Option::is_some) {
            return Poll::Ready(());
        }
        Poll::Pending
    })
    .await;
    results.into_iter().flatten().collect()
}
