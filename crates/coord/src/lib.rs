//! Coordination through a shared table: leases, rosters, divided quotas and versioned state.
