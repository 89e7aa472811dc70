//! Tests that span several crates, one module per subject.

mod harness;

mod chaos;
mod checker;
mod guarantees;
mod owner;
mod path;
mod regression;
mod steps;
mod table;
mod workers;
