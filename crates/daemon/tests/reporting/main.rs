//! Checks that what a process reports (answers, events, metrics, and a link's reports to its
//! shard) is based on replies that it has received, not on calls that it has sent or on
//! assumptions.

mod answers;
mod cell;
mod fixture;
mod links;
mod stubs;
