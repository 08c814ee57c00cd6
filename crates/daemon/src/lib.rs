//! The daemon of an instance: tasks that own sockets and state and communicate by messages.

pub mod dev;
mod entry_points;
pub mod facts;
pub mod fleet;
pub mod follower;
pub mod format;
pub mod ledger;
pub mod lister;
pub mod logs;
pub mod message;
pub mod node;
pub mod operator;
pub mod options;
pub mod owners;
pub mod peer_server;
pub mod peers;
pub mod planner;
pub mod probes;
mod read_reports;
pub mod relay;
pub mod rpc;
pub mod slots;
pub mod table_fetch;
mod table_logs;
pub mod table_reads;
pub mod table_server;
