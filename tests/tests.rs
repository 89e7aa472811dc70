//! Tests that span several crates, by what they are about.

mod bed;

mod chaos;
mod checker;
mod guarantees;
mod owner;
mod path;
mod regression;
mod steps;
mod table;
mod workers;
