//! Runs the owner's task while this process owns the pool.

use job::Epoch;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::Pool;
use super::messages::OWNER_QUEUE_CAPACITY;
use crate::Context;
use crate::OwnerMessage;

/// Sender to the owner in this process; `None` while there is no owner here.
pub type OwnerSlot = watch::Sender<Option<mpsc::Sender<OwnerMessage>>>;

/// Opens the pool whenever this process owns it, until the process stops. A pool that was
/// taken just before the stop is opened too, and is released at once; otherwise other
/// processes could take it only when the ownership expires.
pub async fn supervise_owner(context: Context, slot: OwnerSlot) {
    let mut ownership_rx = context.ownership.clone();
    let mut last_epoch: Epoch = 0;
    loop {
        let epoch = ownership_rx
            .borrow_and_update()
            .owner()
            .filter(|owner| owner.incarnation == context.incarnation)
            .map(|owner| owner.epoch)
            .filter(|epoch| *epoch > last_epoch);
        if let Some(epoch) = epoch {
            last_epoch = epoch;
            let (sender, receiver) = mpsc::channel(OWNER_QUEUE_CAPACITY);
            let opening = Pool::open(context.clone(), epoch, sender.clone(), receiver);
            // The future is too large for the stack of its callers.
            let pool = Box::pin(opening).await;
            if let Some(pool) = pool {
                let gauge = &context.metrics.epoch;
                gauge.set(i64::try_from(epoch).unwrap_or(i64::MAX));
                slot.send_replace(Some(sender));
                pool.run().await;
                slot.send_replace(None);
                gauge.set(0);
                // After the ownership has ended, this process has no load figures for the pool.
                context.metrics.pool.reset();
            }
            continue;
        }
        if context.stopping() {
            return;
        }
        tokio::select! {
            changed = ownership_rx.changed() => if changed.is_err() { return },
            () = context.stopped() => return,
        }
    }
}
