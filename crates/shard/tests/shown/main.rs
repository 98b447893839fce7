//! Replies and events of a shard must state confirmed facts, not what the shard
//! has ordered or assumes.

mod cancels;
mod fixture;
mod refusals;
mod states;
mod workers;
