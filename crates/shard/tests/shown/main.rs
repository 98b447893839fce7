//! Replies and events of a shard must state what is confirmed, not what the
//! shard has only sent or assumes.

mod cancels;
mod fixture;
mod refusals;
mod states;
mod workers;
