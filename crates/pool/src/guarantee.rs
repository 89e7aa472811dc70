//! Whether guaranteed shapes fit, all at once.

use crate::plan;
use crate::shape::Shape;
use crate::tally::Tally;

/// Packs `shapes` into `tally`, widest first. Returns the first that does not
/// fit. Greedy packing may refuse a set that a search would fit; it never
/// accepts one that does not.
pub fn pack(mut tally: Tally, shapes: &mut [Shape]) -> Option<Shape> {
    shapes
        .sort_by_key(|shape| std::cmp::Reverse((shape.cell_size(), shape.adjacency, shape.tasks)));
    shapes.iter().find(|shape| plan::take(&mut tally, shape).is_none()).copied()
}
