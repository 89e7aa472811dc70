/// What the shares have cost a team, or what it took from others, under one owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Account {
    /// Accelerator-milliseconds used beyond its guarantee.
    pub accelerator_ms: u64,
    /// Milliseconds that its steps waited while a team of a lower level came before them.
    pub put_back_ms: u64,
}
