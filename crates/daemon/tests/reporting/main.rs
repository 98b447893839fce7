//! What a process reports about itself and the cell (answers, events, metrics) rests on
//! confirmed facts, not on calls that it has sent or on assumptions.

mod answers;
mod cell;
mod fixture;
mod links;
mod stubs;
