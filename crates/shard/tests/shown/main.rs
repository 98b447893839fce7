//! What callers of a shard are told rests on what the shard knows, not on what
//! it has ordered or assumes.

mod cancels;
mod desk;
mod refusals;
mod states;
mod workers;
