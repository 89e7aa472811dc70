//! Aligned cells within one worker's accelerator mask.

/// Mask of the lowest `count` accelerators.
pub fn full(count: u32) -> u64 {
    if count >= 64 { u64::MAX } else { (1 << count) - 1 }
}

/// Masks of the aligned cells of `size` that lie wholly within `free`.
pub fn within(free: u64, size: u32) -> impl Iterator<Item = u64> {
    let cell = full(size);
    (0..64 / size).map(move |i| cell << (i * size)).filter(move |mask| free & mask == *mask)
}

/// Number of aligned cells of `size` within `free`. Searches call it for every worker, so it
/// combines neighbouring bits instead of testing each cell.
pub fn count(free: u64, size: u32) -> u32 {
    let pairs = free & (free >> 1);
    let quads = pairs & (pairs >> 2);
    match size {
        1 => free.count_ones(),
        2 => (pairs & 0x5555_5555_5555_5555).count_ones(),
        4 => (quads & 0x1111_1111_1111_1111).count_ones(),
        8 => (quads & (quads >> 4) & 0x0101_0101_0101_0101).count_ones(),
        _ => within(free, size).count() as u32,
    }
}

/// The free cell of `size` in the smallest free enclosing cell. Using up a cell that is already
/// split keeps larger cells and whole workers for the gangs that need them.
pub fn tightest(free: u64, size: u32) -> Option<u64> {
    within(free, size).min_by_key(|mask| enclosing(free, *mask, size))
}

/// Size of the largest aligned cell around `mask` that is wholly free.
fn enclosing(free: u64, mask: u64, size: u32) -> u32 {
    let offset = mask.trailing_zeros();
    let mut size = size;
    while size < 64 {
        let wider = size * 2;
        let cell = full(wider) << (offset / wider * wider);
        if free & cell != cell {
            break;
        }
        size = wider;
    }
    size
}
