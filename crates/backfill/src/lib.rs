//! Claims of waiting gangs on capacity that becomes free, and backfill around them.
