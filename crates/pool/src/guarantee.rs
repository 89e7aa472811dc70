//! Checks that guaranteed shapes fit at the same time.

use crate::plan;
use crate::shape::Shape;
use crate::tally::Tally;

/// Packs `shapes` into `tally`, widest first, and returns the first that does not fit. Greedy
/// packing may reject a set that an exhaustive search would fit; it never accepts one that does
/// not fit.
pub fn pack(mut tally: Tally, shapes: &mut [Shape]) -> Option<Shape> {
    shapes
        .sort_by_key(|shape| std::cmp::Reverse((shape.cell_size(), shape.adjacency, shape.tasks)));
    shapes.iter().find(|shape| plan::take(&mut tally, shape).is_none()).copied()
}
