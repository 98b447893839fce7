//! Task that manages this process's membership in the cell: renews its lease,
//! reads the leases of the other processes, and claims, opens, hands over and
//! drops shards.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use event::Event;
use event::Kind;
use model::Epoch;
use model::ShardId;
use model::VersionedConfig;
use store::HostList;
use store::ObjectStore;
use store::RowVersion;
use store::Table;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::Context;
use crate::Hosts;
use crate::Lease;
use crate::LeaseState;
use crate::MemberView;
use crate::Members;
use crate::OutageTracker;
use crate::OutageVerdict;
use crate::RecoveredShard;
use crate::Renewal;
use crate::ShardClaim;
use crate::ShardError;
use crate::ShardOwner;
use crate::ShardRow;
use crate::ShardTaskEnd;
use crate::ShardTaskMessage;
use crate::TableHealth;
use crate::View;
use crate::WorkerHost;
use crate::initial_config;
use crate::query_peers;

/// Time without an answer of the table after which it counts as unreachable.
pub(crate) const UNREACHABLE_AFTER: Duration = Duration::from_millis(1200);

/// How long a process may keep acting after its peers have confirmed an outage
/// of the table, until it asks them again.
const OUTAGE_EXTENSION: Duration = Duration::from_millis(1600);

/// Commands to the shard manager.
#[derive(Debug)]
pub enum ShardManagerCommand {
    /// Hand over all shards, delete the lease, then report the result.
    Leave(oneshot::Sender<HandoverReport>),
    /// Adopt a configuration version that this process has just committed.
    Adopt(Arc<VersionedConfig>),
}

/// Result of the hand-overs of a leaving process. Counts only what the table
/// has confirmed, not what was sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandoverReport {
    /// Shards whose rows name their next owner.
    pub confirmed: u32,
    /// Shards for which no next owner was available, or whose row may not have
    /// been written. Other processes claim them once this process's lease is
    /// deleted or expires.
    pub unconfirmed: u32,
    /// Whether the table has confirmed that the lease is deleted; if not, the
    /// other processes wait until it expires.
    pub lease_deleted: bool,
}

/// A shard whose task runs in this process.
#[derive(Debug)]
pub(crate) struct RunningShard {
    pub(crate) epoch: Epoch,
    /// Version of the shard's row when it was claimed.
    pub(crate) fence: RowVersion,
    /// Inbox of the task.
    pub(crate) task: mpsc::UnboundedSender<ShardTaskMessage>,
    /// Workers last sent to the task.
    pub(crate) workers: Vec<WorkerHost>,
    /// Whether a hand-over of the shard has started.
    pub(crate) releasing: bool,
}

/// A claimed shard, and the state that its former owners recorded or the error
/// of reading it.
pub(crate) type OpenResult = (ShardClaim, Result<RecoveredShard, ShardError>);

/// Task that manages this process's membership in the cell.
#[derive(Debug)]
pub struct ShardManager<T, O, H> {
    pub(crate) context: Arc<Context<T, O, H>>,
    pub(crate) lease: Lease<T, O, H>,
    pub(crate) members: Members,
    /// Shard rows as last read or written.
    pub(crate) shard_rows: HashMap<ShardId, (RowVersion, ShardRow)>,
    pub(crate) running: HashMap<ShardId, RunningShard>,
    /// Shards whose recovery is under way.
    pub(crate) opening: HashSet<ShardId>,
    pub(crate) open_results: JoinSet<OpenResult>,
    pub(crate) task_ends: JoinSet<(ShardId, ShardTaskEnd)>,
    /// Shards released for a hand-over: the journal is finished, or the wait for
    /// it has timed out.
    pub(crate) released_shards: JoinSet<ShardId>,
    pub(crate) config: Arc<VersionedConfig>,
    pub(crate) hosts: watch::Receiver<Hosts>,
    pub(crate) view: watch::Sender<Arc<View>>,
    pub(crate) hints: Arc<Notify>,
    pub(crate) commands: mpsc::Receiver<ShardManagerCommand>,
    pub(crate) outage: OutageTracker,
    /// When the worker lists are read next; `None` for the next tick.
    pub(crate) lists_due: Option<Instant>,
    /// Host list at the last read of the worker lists.
    pub(crate) last_hosts: Hosts,
    /// When the last hand-over of a shard started.
    pub(crate) last_handover: Instant,
    /// Set while the process leaves; receives the report at the end.
    pub(crate) leaving: Option<oneshot::Sender<HandoverReport>>,
    pub(crate) handover: HandoverReport,
}

/// Channels of a shard manager.
#[derive(Debug)]
pub struct ShardManagerChannels {
    /// Current host list.
    pub hosts: watch::Receiver<Hosts>,
    /// Publishes the process's view of the cell.
    pub view: watch::Sender<Arc<View>>,
    /// Notified by a peer's hint; starts the next tick at once.
    pub hints: Arc<Notify>,
    /// Commands of the process's other tasks.
    pub commands: mpsc::Receiver<ShardManagerCommand>,
}

impl<T: Table, O: ObjectStore, H: HostList> ShardManager<T, O, H> {
    /// A shard manager that owns no shards yet.
    #[must_use]
    pub fn new(
        context: Arc<Context<T, O, H>>,
        channels: ShardManagerChannels,
    ) -> ShardManager<T, O, H> {
        ShardManager {
            lease: Lease::new(context.clone()),
            context,
            members: Members::default(),
            shard_rows: HashMap::new(),
            running: HashMap::new(),
            opening: HashSet::new(),
            open_results: JoinSet::new(),
            task_ends: JoinSet::new(),
            released_shards: JoinSet::new(),
            config: Arc::new(initial_config()),
            hosts: channels.hosts,
            view: channels.view,
            hints: channels.hints,
            commands: channels.commands,
            outage: OutageTracker::new(),
            lists_due: None,
            last_hosts: None,
            last_handover: Instant::now(),
            leaving: None,
            handover: HandoverReport::default(),
        }
    }

    /// Runs until the process leaves the cell; after that only keeps the view of
    /// the shards' owners current, until the process drops the task.
    pub async fn run(mut self) {
        let mut next_tick = Instant::now();
        loop {
            if Instant::now() >= next_tick {
                self.tick().await;
                next_tick = Instant::now() + self.tick_delay();
            }
            self.publish();
            if self.leaving.is_some() && self.has_no_shards() {
                break;
            }
            tokio::select! {
                () = tokio::time::sleep_until(next_tick.into()) => {}
                () = self.hints.notified() => next_tick = Instant::now(),
                Some(command) = self.commands.recv() => {
                    self.on_command(command);
                    next_tick = Instant::now();
                }
                Some(Ok(opened)) = self.open_results.join_next() => self.on_shard_opened(opened).await,
                Some(Ok(ended)) = self.task_ends.join_next() => self.on_task_ended(ended),
                Some(Ok(shard)) = self.released_shards.join_next() => self.hand_over(shard).await,
            }
        }
        self.context.gate.revoke();
        self.handover.lease_deleted = self.lease.remove().await;
        if let Some(done) = self.leaving.take() {
            let _ = done.send(self.handover);
        }
        self.follow_ownership().await;
    }

    /// Keeps the view current in a leaving process: requests that are still
    /// under way there must find the owners of their shards, which may change
    /// again.
    async fn follow_ownership(mut self) {
        loop {
            if let Err(error) = self.read_cell().await {
                log::debug!("cell rows not read while leaving: {error}");
            }
            self.publish();
            tokio::time::sleep(self.context.timing.renew / 2).await;
        }
    }

    pub(crate) fn has_no_shards(&self) -> bool {
        self.running.is_empty() && self.opening.is_empty()
    }

    /// Time until the next tick: when the next lease can be stale, at the latest
    /// after the renewal interval.
    fn tick_delay(&self) -> Duration {
        let renew = self.context.timing.renew;
        let stale = self.members.next_stale(self.context.timing.ttl);
        let until = stale.map(|at| at.saturating_duration_since(Instant::now()));
        let wait = until.map_or(renew, |until| until.min(renew));
        wait.max(renew / 10)
    }

    /// Carries out a command of another task of this process: starts leaving the
    /// cell, or applies a configuration and notifies the other processes of it.
    fn on_command(&mut self, command: ShardManagerCommand) {
        match command {
            ShardManagerCommand::Leave(done) => {
                self.lease.mark_leaving();
                self.handover = HandoverReport::default();
                self.leaving = Some(done);
            }
            ShardManagerCommand::Adopt(config) => {
                self.adopt_config(&config);
                self.hint_peers();
            }
        }
    }

    async fn tick(&mut self) {
        if let Err(error) = self.try_tick().await {
            log::debug!("tick failed: {error}");
        }
        if !self.outage.is_reachable(UNREACHABLE_AFTER) {
            self.check_outage().await;
        }
    }

    async fn try_tick(&mut self) -> Result<(), ShardError> {
        self.renew().await?;
        let previous_version = self.config.version;
        self.read_cell().await?;
        if self.config.version != previous_version {
            // Renews once more, so that the other processes see at once which
            // version is in force here.
            self.renew().await?;
        }
        if self.outage.in_outage {
            self.outage.in_outage = false;
            self.record_event(Event::new(Kind::OutageLeft));
        }
        self.expire_stale().await?;
        self.reconcile().await?;
        self.claim_unowned_shards().await?;
        self.start_handovers();
        self.read_worker_lists().await
    }

    /// Renews the lease and extends the gate. If the gate had closed, this
    /// process had renewed too late to act meanwhile, although no other process
    /// had expired its lease; unless it may reclaim its shards, it drops them.
    pub(crate) async fn renew(&mut self) -> Result<(), ShardError> {
        let gate_closed = !self.context.gate.is_open();
        let is_first = self.lease.version() == 0;
        let (renewal, sent_at) = self.lease.renew(self.config.version).await?;
        self.outage.record_answer();
        match renewal {
            _ if is_first => self.record_event(Event::new(Kind::LeaseAcquired)),
            Renewal::Extended if gate_closed => {
                self.record_event(Event::new(Kind::LeaseRenewedLate));
                if !self.context.reclaim {
                    self.drop_all_shards();
                }
            }
            Renewal::Extended => {}
            Renewal::Regained => {
                self.context.gate.revoke();
                self.record_event(Event::new(Kind::LeaseExpired));
                self.recheck_shards().await?;
            }
        }
        self.context.gate.extend(sent_at + self.context.timing.hold);
        Ok(())
    }

    /// Asks the peers whether they reach the table, and enters, prolongs or ends
    /// the outage mode accordingly.
    async fn check_outage(&mut self) {
        let own_health = TableHealth {
            process: self.context.process.clone(),
            reachable: false,
        };
        self.publish();
        let others = self.members.iter().filter(|(process, member)| {
            **process != self.context.process && member.lease.state != LeaseState::Expired
        });
        let peers = others.map(|(_, member)| member.info.peer).collect();
        let verdict = query_peers(&self.context.endpoint, own_health, peers).await;
        if verdict == OutageVerdict::Confirmed && !self.outage.is_over_limit() {
            self.context.gate.extend(Instant::now() + OUTAGE_EXTENSION);
            if !self.outage.in_outage {
                self.outage.in_outage = true;
                self.record_event(Event::new(Kind::OutageEntered));
            }
        } else if self.outage.in_outage {
            self.outage.in_outage = false;
            self.context.gate.revoke();
            let event = Event::new(Kind::OutageUnconfirmed);
            self.record_event(event.detail(format!("{verdict:?}")));
        }
    }

    /// Publishes the current view of the cell.
    pub(crate) fn publish(&self) {
        let ttl = self.context.timing.ttl;
        let mut members: Vec<MemberView> = self
            .members
            .iter()
            .map(|(process, member)| MemberView {
                process: process.clone(),
                name: member.info.name.clone(),
                domain: member.info.domain.clone(),
                peer: member.info.peer,
                live: member.lease.state == LeaseState::Live && !member.is_stale(ttl),
                expired: member.lease.state == LeaseState::Expired,
                config: member.lease.config,
            })
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let owner = |row: &ShardRow| ShardOwner {
            process: row.owner.clone(),
            epoch: row.epoch,
        };
        let view = View {
            members,
            owners: self
                .shard_rows
                .iter()
                .map(|(shard, (_, row))| (*shard, owner(row)))
                .collect(),
            local: self
                .running
                .iter()
                .map(|(s, r)| (*s, r.task.clone()))
                .collect(),
            config: Some(self.config.clone()),
            last_answer: self.outage.last_answer(),
            read_at: self.members.read_at(),
        };
        self.view.send_replace(Arc::new(view));
    }

    pub(crate) fn record_event(&self, event: Event) {
        self.context.timeline.record(event);
    }
}
