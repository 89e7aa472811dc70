//! Relative speed of machines, learned from the times that runs take on them.

mod speed;

pub use speed::Speed;
