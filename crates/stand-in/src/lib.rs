//! Stand-ins for what surrounds the product: the platform, an endpoint, and
//! callers. Small on purpose, never published, and not part of the product.

pub mod caller;
pub mod endpoint;
pub mod fleet;
pub mod output;
pub mod platform;
pub mod record;
pub mod table;
