//! What a process shows of itself and of the cell rests on what it knows, not
//! on what it has ordered or assumes.

mod answers;
mod cell;
mod house;
mod links;
mod stubs;
