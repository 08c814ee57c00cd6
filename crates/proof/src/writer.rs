//! Writers that stand for the reader of a process's lines.

use std::{
    io::{self, Write},
    sync::mpsc,
};

/// Blocks until its partner is dropped, as a pipe does whose reader has stopped.
#[derive(Debug)]
pub struct Stopped(pub mpsc::Receiver<()>);

impl Write for Stopped {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Passes on what is written, batch by batch.
#[derive(Debug)]
pub struct Passed(pub mpsc::Sender<String>);

impl Write for Passed {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.send(String::from_utf8_lossy(buf).into_owned());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
