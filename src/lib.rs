//! quincewheel: a scheduler for multi-accelerator jobs under team guarantees.
//!
//! This package holds the tests that span several of the product's crates; the
//! product itself is in `crates/`.
