use prometheus_client::encoding::EncodeLabelSet;

/// A limit at which a client is turned away.
#[derive(Clone, Copy, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Label {
    limit: &'static str,
}

/// Why a client is turned away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limit {
    /// Too many connections are open.
    Connections,
    /// Too many bytes of bodies are held.
    BodyBytes,
    /// The head of a request is too long.
    HeadBytes,
    /// A body goes on too long after it was refused.
    RefusedBytes,
    /// A request or the taking of a reply lasts too long.
    TransferTime,
    /// Too many calls are executed.
    Calls,
}

impl Limit {
    /// All limits.
    pub const ALL: [Limit; 6] = [
        Limit::Connections,
        Limit::BodyBytes,
        Limit::HeadBytes,
        Limit::RefusedBytes,
        Limit::TransferTime,
        Limit::Calls,
    ];

    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Limit::Connections => "connections",
            Limit::BodyBytes => "body bytes",
            Limit::HeadBytes => "head bytes",
            Limit::RefusedBytes => "refused bytes",
            Limit::TransferTime => "transfer time",
            Limit::Calls => "calls",
        }
    }

    /// Returns its label in metrics.
    pub(crate) fn label(self) -> Label {
        Label { limit: self.name() }
    }
}
