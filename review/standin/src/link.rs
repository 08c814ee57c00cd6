//! The link of one node to one server: a relay that can be cut.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Default)]
pub struct Link {
    is_cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Link {
    /// Passes connections to `addr` on to `server` until the link is cut.
    pub fn start(addr: SocketAddr, server: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(addr).expect("the link's address is free");
        listener
            .set_nonblocking(true)
            .expect("the listener can be polled");
        let link = Arc::new(Self::default());
        let passing = link.clone();
        thread::spawn(move || {
            while !passing.is_cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((near, _)) => passing.pass_on(near, server),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        link
    }

    /// Ends all connections; new ones are refused from now on.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn pass_on(&self, near: TcpStream, server: SocketAddr) {
        let _ = near.set_nonblocking(false);
        let Ok(far) = TcpStream::connect(server) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let copies = (
            near.try_clone(),
            far.try_clone(),
            near.try_clone(),
            far.try_clone(),
        );
        let (Ok(near_copy), Ok(far_copy), Ok(near_open), Ok(far_open)) = copies else {
            return;
        };
        self.open.lock().unwrap().extend([near_open, far_open]);
        thread::spawn(move || copy(near, far));
        thread::spawn(move || copy(far_copy, near_copy));
    }
}

/// Copies one direction, and ends both when it has ended.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 * 1024];
    let result: io::Result<()> = (|| {
        loop {
            let len = from.read(&mut buf)?;
            if len == 0 {
                return Ok(());
            }
            to.write_all(&buf[..len])?;
        }
    })();
    let _ = (to.shutdown(Shutdown::Write), result);
}
