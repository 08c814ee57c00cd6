//! What instances store in the platform's tables when it comes back from an older copy of them.

mod claims;
mod facts;
#[path = "../support/claims.rs"]
mod ledger;
mod list;
mod store;
