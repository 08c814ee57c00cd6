//! The follower of an instance, whose channels the test has.

use std::sync::Arc;

use coord::Replica;
use daemon::{
    follower::{
        FollowerOptions, Outputs,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    message::{FollowerMessage, PeerCommand},
};
use entry::{message::Event, view::View};
use tokio::sync::{mpsc, watch};

/// Messages to a follower, what it reports to the task that sends heartbeats, and its view.
type Channels = (
    mpsc::Sender<FollowerMessage>,
    mpsc::Receiver<PeerCommand>,
    watch::Receiver<Arc<View>>,
);

/// Starts a follower of the operators' and the targets' tables that sends what `compose` returns to `engine`.
pub(crate) fn start_follower<F>(
    options: FollowerOptions,
    engine: mpsc::UnboundedSender<Event>,
    compose: F,
) -> Channels
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig> + Send + 'static,
{
    let (peers, told) = mpsc::channel(1_024);
    let (view, views) = watch::channel(Arc::new(View::default()));
    let (snapshots, _) = watch::channel(Arc::default());
    let (messages, rx) = mpsc::channel(64);
    let outputs = Outputs {
        engine,
        peers,
        view,
    };
    let followed = FollowedTables {
        orders: Vec::new(),
        tables: vec!["op".to_owned(), "servers".to_owned()],
        compose,
    };
    let follower = TableFollower::new(options, outputs, followed, snapshots);
    tokio::spawn(follower.run(rx));
    (messages, told, views)
}
