//! A relay in front of the platform that holds appends back until it is opened.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// A relay that holds appends back.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    pub(crate) address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    held: AtomicUsize,
    open: Mutex<bool>,
    opened: Condvar,
}

impl Gate {
    /// A relay from `listen` to `platform`.
    pub(crate) fn start(listen: SocketAddr, platform: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).expect("the relay's address");
        let shared = Arc::new(Shared::default());
        let gate = Self {
            address: listen,
            shared: Arc::clone(&shared),
        };
        // Its threads end with the test's process.
        thread::spawn(move || {
            for caller in listener.incoming().map_while(Result::ok) {
                let platform = TcpStream::connect(platform).expect("the platform");
                let back = (platform.try_clone(), caller.try_clone());
                let (Ok(from), Ok(to)) = back else { return };
                let shared = Arc::clone(&shared);
                thread::spawn(move || pass(caller, platform, Some(&shared)));
                thread::spawn(move || pass(from, to, None));
            }
        });
        gate
    }

    /// Appends that were held back.
    pub(crate) fn held(&self) -> usize {
        self.shared.held.load(Ordering::Relaxed)
    }

    /// Lets everything through from now on.
    pub(crate) fn open(&self) {
        *self.shared.open.lock().expect("a lock") = true;
        self.shared.opened.notify_all();
    }
}

impl Shared {
    fn hold(&self) {
        self.held.fetch_add(1, Ordering::Relaxed);
        let open = self.open.lock().expect("a lock");
        drop(self.opened.wait_while(open, |open| !*open));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, gate: Option<&Shared>) {
    let mut bytes = [0; 64 * 1024];
    while let Ok(length) = from.read(&mut bytes) {
        let piece = &bytes[..length];
        match gate {
            Some(gate) if piece.starts_with(b"POST ") => gate.hold(),
            _ => {}
        }
        if length == 0 || to.write_all(piece).is_err() {
            break;
        }
    }
    // Either end may be gone.
    let _ = to.shutdown(Shutdown::Write);
}
