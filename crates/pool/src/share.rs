use serde::{Deserialize, Serialize};

use crate::shape::Shape;

/// A number of equal shapes that a team can have at the same time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// The shape.
    pub shape: Shape,
    /// How many of it.
    pub count: u32,
}
