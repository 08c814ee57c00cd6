//! A lookup table from blocks of client addresses to sites.

use std::net::Ipv4Addr;

/// Maps blocks of IPv4 client addresses to sites, which the caller numbers.
///
/// Takes six bytes per block, in addition to an index of fixed size.
///
/// A block ends where the next one begins.
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
    /// First address of each block, in ascending order.
    starts: Vec<u32>,
    /// Site of each block.
    sites: Vec<u16>,
    /// Position of the first block of each /16 prefix.
    index: Vec<u32>,
}

/// Number of /16 prefixes.
const INDEX_SIZE: usize = 1 << 16;

impl BlockTable {
    /// Returns a table of blocks, given by first address and site in any order.
    pub fn new(mut blocks: Vec<(u32, u16)>) -> Self {
        blocks.sort_unstable_by_key(|(start, _)| *start);
        blocks.dedup_by_key(|(start, _)| *start);
        let starts: Vec<u32> = blocks.iter().map(|(start, _)| *start).collect();
        let sites = blocks.iter().map(|(_, site)| *site).collect();
        let mut index = Vec::with_capacity(INDEX_SIZE + 1);
        let mut next = 0;
        for prefix in 0..INDEX_SIZE as u32 {
            while next < starts.len() && starts[next] >> 16 < prefix {
                next += 1;
            }
            index.push(next as u32);
        }
        index.push(starts.len() as u32);
        Self {
            starts,
            sites,
            index,
        }
    }

    /// Returns the site of a client, or `None` for an address before the first block.
    pub fn site(&self, client: Ipv4Addr) -> Option<u16> {
        let addr = u32::from(client);
        let prefix = (addr >> 16) as usize;
        let (from, to) = (*self.index.get(prefix)?, *self.index.get(prefix + 1)?);
        let range = &self.starts[from as usize..to as usize];
        let position = from as usize + range.partition_point(|start| *start <= addr);
        Some(self.sites[position.checked_sub(1)?])
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Returns whether the table has no blocks.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Returns the memory that the table takes on the heap, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<u32>()
            + self.sites.capacity() * size_of::<u16>()
            + self.index.capacity() * size_of::<u32>()
    }
}
