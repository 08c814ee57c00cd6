//! Which site is best for which block of clients.

use std::net::Ipv4Addr;

/// Maps blocks of client addresses to sites, in six bytes a block.
///
/// Blocks begin where they say and end where the next one begins.
///
/// # Examples
///
/// ```
/// use steer::BlockTable;
///
/// let table = BlockTable::new(vec![(0x0a00_0000, 1), (0x0a00_0100, 2)]);
/// assert_eq!(table.site([10, 0, 0, 7].into()), Some(1));
/// assert_eq!(table.site([10, 0, 1, 7].into()), Some(2));
/// assert_eq!(table.site([9, 0, 0, 1].into()), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct BlockTable {
    starts: Vec<u32>,
    sites: Vec<u16>,
    /// Index of the first block of each /16.
    index: Vec<u32>,
}

const INDEX_SIZE: usize = 1 << 16;

impl BlockTable {
    /// Returns the table of blocks given by first address and site, in any order.
    pub fn new(mut blocks: Vec<(u32, u16)>) -> Self {
        blocks.sort_unstable_by_key(|(start, _)| *start);
        blocks.dedup_by_key(|(start, _)| *start);
        let starts: Vec<u32> = blocks.iter().map(|(start, _)| *start).collect();
        let sites = blocks.iter().map(|(_, site)| *site).collect();
        let mut index = Vec::with_capacity(INDEX_SIZE + 1);
        let mut at = 0;
        for high in 0..INDEX_SIZE as u32 {
            while at < starts.len() && starts[at] >> 16 < high {
                at += 1;
            }
            index.push(at as u32);
        }
        index.push(starts.len() as u32);
        Self {
            starts,
            sites,
            index,
        }
    }

    /// Returns the site of a client, or `None` before the first block.
    pub fn site(&self, client: Ipv4Addr) -> Option<u16> {
        let addr = u32::from(client);
        let high = (addr >> 16) as usize;
        let (from, to) = (*self.index.get(high)?, *self.index.get(high + 1)?);
        let within = &self.starts[from as usize..to as usize];
        let after = from as usize + within.partition_point(|start| *start <= addr);
        Some(self.sites[after.checked_sub(1)?])
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Returns whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Returns the bytes that the table takes.
    pub fn memory_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<u32>()
            + self.sites.capacity() * size_of::<u16>()
            + self.index.capacity() * size_of::<u32>()
    }
}
