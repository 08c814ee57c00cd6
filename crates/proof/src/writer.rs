//! Writers for tests of output sinks.

use std::{
    io::{self, Write},
    sync::mpsc,
};

/// Blocks every write until the channel's sender is dropped, like a pipe whose reader has stopped.
#[derive(Debug)]
pub struct BlockedWriter(pub mpsc::Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sends the text of each write over a channel.
#[derive(Debug)]
pub struct ChannelWriter(pub mpsc::Sender<String>);

impl Write for ChannelWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.send(String::from_utf8_lossy(buf).into_owned());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
