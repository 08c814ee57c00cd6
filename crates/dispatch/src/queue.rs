//! Weighted fair queueing among workspaces.

use std::collections::{BTreeMap, VecDeque};

use base::WorkspaceId;

/// Queues items per workspace and hands them out in proportion to the workspaces' weights.
///
/// Each item gets a start tag: the later of the queue's virtual time and the finish tag of the
/// workspace's previous item. The item with the lowest start tag goes first (start-time fair
/// queueing), so that a workspace with a long queue delays only itself.
///
/// # Examples
///
/// ```
/// use dispatch::FairQueue;
///
/// let mut queue = FairQueue::default();
/// for item in 0..3 {
///     queue.push(&"large".into(), 1, item);
/// }
/// queue.push(&"small".into(), 1, 9);
/// let order: Vec<i32> = std::iter::from_fn(|| queue.pop()).collect();
/// assert_eq!(order, [0, 9, 1, 2]);
/// ```
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    flows: BTreeMap<WorkspaceId, Flow<T>>,
    /// Workspaces with queued items, by start tag and sequence number of their front item.
    heads: BTreeMap<(u64, u64), WorkspaceId>,
    /// Highest start tag of the items that were popped.
    virtual_time: u64,
    last_sequence: u64,
    len: usize,
}

/// Queues the items of one workspace, in the order in which they are popped.
#[derive(Debug, Clone)]
struct Flow<T> {
    items: VecDeque<Item<T>>,
    /// Finish tag of the last item that was popped.
    popped_finish: u64,
    /// Finish tag of the last item that was pushed.
    finish: u64,
    weight: u32,
}

impl<T> Flow<T> {
    /// Recomputes the tags after a removal, so that removed items cost the workspace no share.
    fn retag(&mut self) {
        let mut finish = self.popped_finish;
        for item in &mut self.items {
            item.start = finish.max(item.pushed_at);
            finish = item.start + UNIT / u64::from(self.weight);
        }
        self.finish = finish;
    }
}

#[derive(Debug, Clone)]
struct Item<T> {
    /// Start tag.
    start: u64,
    /// Virtual time at which the item was pushed.
    pushed_at: u64,
    /// Breaks ties between equal start tags.
    sequence: u64,
    value: T,
}

/// Virtual time that one item of a workspace with weight 1 takes.
const UNIT: u64 = 1 << 20;

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            heads: BTreeMap::new(),
            virtual_time: 0,
            last_sequence: 0,
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Adds an item at the end of its workspace's queue.
    pub fn push(&mut self, workspace: &WorkspaceId, weight: u32, value: T) {
        self.last_sequence += 1;
        self.len += 1;
        let sequence = self.last_sequence;
        let virtual_time = self.virtual_time;
        let flow = self.flow(workspace);
        flow.weight = weight.max(1);
        let start = flow.finish.max(virtual_time);
        flow.finish = start + UNIT / u64::from(flow.weight);
        flow.items.push_back(Item {
            start,
            pushed_at: virtual_time,
            sequence,
            value,
        });
        if flow.items.len() == 1 {
            self.heads.insert((start, sequence), workspace.clone());
        }
    }

    /// Puts a popped item back at the front of its workspace's queue, with the current virtual time
    /// as its start tag, so that it is due at once.
    pub fn push_front(&mut self, workspace: &WorkspaceId, value: T) {
        self.len += 1;
        let start = self.virtual_time;
        let flow = self.flow(workspace);
        let old_head = flow.items.front().map(|head| (head.start, head.sequence));
        flow.items.push_front(Item {
            start,
            pushed_at: start,
            sequence: 0,
            value,
        });
        if let Some(key) = old_head {
            self.heads.remove(&key);
        }
        self.reinsert_head(workspace);
    }

    fn flow(&mut self, workspace: &WorkspaceId) -> &mut Flow<T> {
        let finish = self.virtual_time;
        self.flows.entry(workspace.clone()).or_insert_with(|| Flow {
            items: VecDeque::new(),
            popped_finish: finish,
            finish,
            weight: 1,
        })
    }

    /// Inserts the front item of a flow into the heads under a new sequence number.
    fn reinsert_head(&mut self, workspace: &WorkspaceId) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let Some(head) = self
            .flows
            .get_mut(workspace)
            .and_then(|flow| flow.items.front_mut())
        else {
            return;
        };
        head.sequence = sequence;
        self.heads.insert((head.start, sequence), workspace.clone());
    }

    /// Removes and returns the item with the lowest start tag.
    pub fn pop(&mut self) -> Option<T> {
        let ((start, _), workspace) = self.heads.pop_first()?;
        self.virtual_time = self.virtual_time.max(start);
        self.len -= 1;
        let flow = self.flows.get_mut(&workspace)?;
        let item = flow.items.pop_front()?;
        flow.popped_finish = flow
            .popped_finish
            .max(item.start + UNIT / u64::from(flow.weight));
        if let Some(head) = flow.items.front() {
            self.heads.insert((head.start, head.sequence), workspace);
        } else if flow.finish <= self.virtual_time || self.heads.is_empty() {
            self.flows.remove(&workspace);
        }
        Some(item.value)
    }

    /// Returns the item that [`FairQueue::pop`] would return.
    pub fn peek(&self) -> Option<&T> {
        let (_, workspace) = self.heads.first_key_value()?;
        let flow = self.flows.get(workspace)?;
        flow.items.front().map(|item| &item.value)
    }

    /// Removes and returns every item for which `is_removed` returns `true`.
    pub fn remove_if<F>(&mut self, mut is_removed: F) -> Vec<T>
    where
        F: FnMut(&T) -> bool,
    {
        let mut removed = Vec::new();
        self.heads.clear();
        for (workspace, flow) in &mut self.flows {
            let before = flow.items.len();
            for item in std::mem::take(&mut flow.items) {
                if is_removed(&item.value) {
                    removed.push(item.value);
                } else {
                    flow.items.push_back(item);
                }
            }
            if flow.items.len() < before {
                flow.retag();
            }
            if let Some(head) = flow.items.front() {
                self.heads
                    .insert((head.start, head.sequence), workspace.clone());
            }
        }
        self.len -= removed.len();
        self.flows
            .retain(|_, flow| !flow.items.is_empty() || flow.finish > self.virtual_time);
        removed
    }

    /// Returns the number of items that would be popped before a new one of this workspace.
    pub fn ahead_of(&self, workspace: &WorkspaceId) -> usize {
        let own = self.flows.get(workspace);
        let start = own.map_or(self.virtual_time, |flow| flow.finish.max(self.virtual_time));
        self.flows
            .iter()
            .map(|(name, flow)| {
                if name == workspace {
                    return flow.items.len();
                }
                let Some(head) = flow.items.front() else {
                    return 0;
                };
                let span = UNIT / u64::from(flow.weight);
                let turns = start.saturating_sub(head.start) / span.max(1) + 1;
                flow.items.len().min(turns as usize)
            })
            .sum()
    }

    /// Returns the workspaces that have queued items.
    pub fn queued_workspaces(&self) -> impl Iterator<Item = &WorkspaceId> {
        self.heads.values()
    }

    /// Returns the number of queued items of one workspace.
    pub fn len_of(&self, workspace: &WorkspaceId) -> usize {
        self.flows.get(workspace).map_or(0, |flow| flow.items.len())
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of queued items of each workspace that has some.
    pub fn lengths(&self) -> BTreeMap<WorkspaceId, usize> {
        self.flows
            .iter()
            .filter(|(_, flow)| !flow.items.is_empty())
            .map(|(name, flow)| (name.clone(), flow.items.len()))
            .collect()
    }
}
