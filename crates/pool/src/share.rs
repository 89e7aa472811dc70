use serde::{Deserialize, Serialize};

use crate::shape::Shape;

/// A number of equal shapes that a team is guaranteed at the same time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// The shape.
    pub shape: Shape,
    /// The number of such shapes.
    pub count: u32,
}
