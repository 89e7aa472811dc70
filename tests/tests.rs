//! Tests that span several crates, by what they are about.

mod bed;

mod chaos;
mod path;
mod steps;
