//! Task that keeps this process's place in the cell: renews its lease, reads
//! the others' leases, and claims, opens, hands over and drops shards.

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

use crate::Claim;
use crate::Context;
use crate::Hosts;
use crate::Lease;
use crate::LeaseState;
use crate::MemberView;
use crate::Members;
use crate::OutageWatch;
use crate::OutageWord;
use crate::OwnerEnd;
use crate::OwnerMessage;
use crate::Recovered;
use crate::Renewal;
use crate::ShardError;
use crate::ShardOwner;
use crate::ShardRow;
use crate::TableHealth;
use crate::View;
use crate::WorkerHost;
use crate::ask_peers;
use crate::first_config;
/// Silence of the table after which it counts as unreachable.
pub(crate) const UNREACHABLE: Duration = Duration::from_millis(1200);

/// How long a confirmed outage lets the process go on until asked again.
const GO_ON: Duration = Duration::from_millis(1600);

/// Orders to the keeper.
#[derive(Debug)]
pub enum KeeperOrder {
    /// Hand all shards over, give the lease up, then tell how that went.
    Leave(oneshot::Sender<Handover>),
    /// Adopt a configuration that this process has just made.
    Adopt(Arc<VersionedConfig>),
}

/// What a leaving process knows of its shards and its lease: what the table
/// has confirmed, not what was sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// Shards whose rows name their next owner.
    pub handed: u32,
    /// Shards that nobody could be named for, or whose rows may not have been
    /// written; they are claimed from the lease.
    pub unnamed: u32,
    /// Whether the lease is gone; if not, the others wait for its end.
    pub gave_up: bool,
}

/// A shard that this process runs.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) epoch: Epoch,
    pub(crate) fence: RowVersion,
    pub(crate) owner: mpsc::UnboundedSender<OwnerMessage>,
    pub(crate) workers: Vec<WorkerHost>,
    pub(crate) releasing: bool,
}

/// Result of reading what earlier owners left.
pub(crate) type Opened = (Claim, Result<Recovered, ShardError>);

/// Task that keeps this process's place in the cell.
#[derive(Debug)]
pub struct Keeper<T, O, H> {
    pub(crate) context: Arc<Context<T, O, H>>,
    pub(crate) lease: Lease<T, O, H>,
    pub(crate) members: Members,
    pub(crate) rows: HashMap<ShardId, (RowVersion, ShardRow)>,
    pub(crate) running: HashMap<ShardId, Running>,
    pub(crate) opening: HashSet<ShardId>,
    pub(crate) opened: JoinSet<Opened>,
    pub(crate) ended: JoinSet<(ShardId, OwnerEnd)>,
    pub(crate) released: JoinSet<ShardId>,
    pub(crate) config: Arc<VersionedConfig>,
    pub(crate) hosts: watch::Receiver<Hosts>,
    pub(crate) view: watch::Sender<Arc<View>>,
    pub(crate) hints: Arc<Notify>,
    pub(crate) orders: mpsc::Receiver<KeeperOrder>,
    pub(crate) outage: OutageWatch,
    /// When the lists of workers are read next, and the host list at the last.
    pub(crate) assigned_at: Option<Instant>,
    pub(crate) assigned_hosts: Hosts,
    pub(crate) moved_at: Instant,
    pub(crate) leaving: Option<oneshot::Sender<Handover>>,
    pub(crate) handover: Handover,
}

/// Channels of a keeper.
#[derive(Debug)]
pub struct KeeperPorts {
    /// The host list.
    pub hosts: watch::Receiver<Hosts>,
    /// Where it publishes what it believes.
    pub view: watch::Sender<Arc<View>>,
    /// Wakes it before the next tick.
    pub hints: Arc<Notify>,
    /// Orders.
    pub orders: mpsc::Receiver<KeeperOrder>,
}

impl<T: Table, O: ObjectStore, H: HostList> Keeper<T, O, H> {
    /// A keeper that owns nothing yet.
    #[must_use]
    pub fn new(context: Arc<Context<T, O, H>>, ports: KeeperPorts) -> Keeper<T, O, H> {
        Keeper {
            lease: Lease::new(context.clone()),
            context,
            members: Members::default(),
            rows: HashMap::new(),
            running: HashMap::new(),
            opening: HashSet::new(),
            opened: JoinSet::new(),
            ended: JoinSet::new(),
            released: JoinSet::new(),
            config: Arc::new(first_config()),
            hosts: ports.hosts,
            view: ports.view,
            hints: ports.hints,
            orders: ports.orders,
            outage: OutageWatch::new(),
            assigned_at: None,
            assigned_hosts: None,
            moved_at: Instant::now(),
            leaving: None,
            handover: Handover::default(),
        }
    }

    /// Runs until told to leave; then only follows who owns what, until the
    /// process drops it.
    pub async fn run(mut self) {
        let mut due = Instant::now();
        loop {
            if Instant::now() >= due {
                self.tick().await;
                due = Instant::now() + self.wait();
            }
            self.publish();
            if self.leaving.is_some() && self.is_empty() {
                break;
            }
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => {}
                () = self.hints.notified() => due = Instant::now(),
                Some(order) = self.orders.recv() => {
                    self.on_order(order);
                    due = Instant::now();
                }
                Some(Ok(opened)) = self.opened.join_next() => self.on_opened(opened).await,
                Some(Ok(ended)) = self.ended.join_next() => self.on_ended(ended),
                Some(Ok(shard)) = self.released.join_next() => self.hand_over(shard).await,
            }
        }
        self.context.gate.shut();
        self.handover.gave_up = self.lease.give_up().await;
        if let Some(done) = self.leaving.take() {
            let _ = done.send(self.handover);
        }
        self.follow().await;
    }

    /// Requests that are still under way in a leaving process have to find
    /// the owners of their shards, which may change again meanwhile.
    async fn follow(mut self) {
        loop {
            if let Err(error) = self.read_cell().await {
                log::debug!("follow: {error}");
            }
            self.publish();
            tokio::time::sleep(self.context.timing.renew / 2).await;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty() && self.opening.is_empty()
    }

    fn wait(&self) -> Duration {
        let renew = self.context.timing.renew;
        let stale = self.members.next_stale(self.context.timing.ttl);
        let until = stale.map(|at| at.saturating_duration_since(Instant::now()));
        let wait = until.map_or(renew, |until| until.min(renew));
        wait.max(renew / 10)
    }

    fn on_order(&mut self, order: KeeperOrder) {
        match order {
            KeeperOrder::Leave(done) => {
                self.lease.leave();
                self.handover = Handover::default();
                self.leaving = Some(done);
            }
            KeeperOrder::Adopt(config) => {
                self.adopt(&config);
                self.hint_all();
            }
        }
    }

    async fn tick(&mut self) {
        if let Err(error) = self.try_tick().await {
            log::debug!("tick: {error}");
        }
        if !self.outage.is_reachable(UNREACHABLE) {
            self.weigh_outage().await;
        }
    }

    async fn try_tick(&mut self) -> Result<(), ShardError> {
        self.renew().await?;
        let before = self.config.version;
        self.read_cell().await?;
        if self.config.version != before {
            // The others see at once that it is in force here.
            self.renew().await?;
        }
        if self.outage.going_on {
            self.outage.going_on = false;
            self.record(Event::new(Kind::OutageLeft));
        }
        self.expire_stale().await?;
        self.reconcile().await?;
        self.claim_free().await?;
        self.pass_on();
        self.read_workers().await
    }

    pub(crate) async fn renew(&mut self) -> Result<(), ShardError> {
        let lapsed = !self.context.gate.is_open();
        let first = self.lease.version() == 0;
        let (renewal, began) = self.lease.renew(self.config.version).await?;
        self.outage.on_answer();
        match renewal {
            _ if first => self.record(Event::new(Kind::LeaseAcquired)),
            Renewal::Held if lapsed => {
                self.record(Event::new(Kind::LeaseLapsed));
                if !self.context.reclaim {
                    self.drop_all();
                }
            }
            Renewal::Held => {}
            Renewal::Regained => {
                self.context.gate.shut();
                self.record(Event::new(Kind::LeaseExpired));
                self.sort_shards().await?;
            }
        }
        self.context.gate.extend(began + self.context.timing.hold);
        Ok(())
    }

    async fn weigh_outage(&mut self) {
        let own = TableHealth {
            process: self.context.process.clone(),
            reachable: false,
        };
        self.publish();
        let others = self.members.iter().filter(|(process, member)| {
            **process != self.context.process && member.lease.state != LeaseState::Expired
        });
        let peers = others.map(|(_, member)| member.info.peer).collect();
        let word = ask_peers(&self.context.node, own, peers).await;
        if word == OutageWord::Confirmed && !self.outage.is_over_limit() {
            self.context.gate.extend(Instant::now() + GO_ON);
            if !self.outage.going_on {
                self.outage.going_on = true;
                self.record(Event::new(Kind::OutageEntered));
            }
        } else if self.outage.going_on {
            self.outage.going_on = false;
            self.context.gate.shut();
            let event = Event::new(Kind::OutageUnconfirmed);
            self.record(event.detail(format!("{word:?}")));
        }
    }

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
                .rows
                .iter()
                .map(|(shard, (_, row))| (*shard, owner(row)))
                .collect(),
            local: self
                .running
                .iter()
                .map(|(s, r)| (*s, r.owner.clone()))
                .collect(),
            config: Some(self.config.clone()),
            answered: self.outage.answered(),
            read: self.members.read_at(),
        };
        self.view.send_replace(Arc::new(view));
    }

    pub(crate) fn record(&self, event: Event) {
        self.context.timeline.record(event);
    }
}
