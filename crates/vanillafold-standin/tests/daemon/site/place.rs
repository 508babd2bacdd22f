//! Loopback addresses and a folder that no other test uses.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// The second bytes of loopback addresses that these tests take.
const FIRST_BLOCK: u32 = 61;
const BLOCKS: u32 = 20;
/// Sites in a block.
const BLOCK_SITES: u32 = 250;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Loopback addresses and a folder of one test.
#[derive(Debug)]
pub(crate) struct Place {
    network: [u8; 3],
    folder: PathBuf,
}

/// Keeps the place's block from other test processes.
#[derive(Debug)]
pub(crate) struct PortHolder {
    _listener: TcpListener,
}

impl Place {
    /// A place that nobody else has.
    pub(crate) fn new() -> (Self, PortHolder) {
        const HOLD_PORT: u16 = 7_999;
        let start = std::process::id();
        for _ in 0..BLOCKS * BLOCK_SITES {
            let number = start.wrapping_mul(BLOCK_SITES) + NEXT.fetch_add(1, Ordering::Relaxed);
            let number = number % (BLOCKS * BLOCK_SITES);
            let block = u8::try_from(FIRST_BLOCK + number / BLOCK_SITES).expect("a byte");
            let site = u8::try_from(1 + number % BLOCK_SITES).expect("a byte");
            let network = [127, block, site];
            // Another process may be at the same block; whoever holds this port has the place.
            let held = TcpListener::bind((Ipv4Addr::new(127, block, site, 254), HOLD_PORT));
            let Ok(listener) = held else { continue };
            let name = format!("daemon-{block}-{site}");
            let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
            // One that a killed test left is emptied.
            let _ = fs::remove_dir_all(&folder);
            fs::create_dir_all(&folder).expect("a folder");
            let holder = PortHolder {
                _listener: listener,
            };
            return (Self { network, folder }, holder);
        }
        panic!("every loopback block is taken");
    }

    /// An address of the place.
    pub(crate) fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.network;
        SocketAddr::from(([a, b, c, host], port))
    }

    /// Where callers connect.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.address(1, 7_001)
    }

    /// Where peers connect.
    pub(crate) fn peers(&self) -> SocketAddr {
        self.address(1, 7_002)
    }

    /// Where operators connect.
    pub(crate) fn admin(&self) -> SocketAddr {
        self.address(1, 7_003)
    }

    /// The platform.
    pub(crate) fn platform(&self) -> SocketAddr {
        self.address(2, 7_100)
    }

    /// The target.
    pub(crate) fn target(&self) -> SocketAddr {
        self.address(3, 7_200)
    }

    /// The runner's controls.
    pub(crate) fn control(&self) -> SocketAddr {
        self.address(3, 7_300)
    }

    /// The place's own folder.
    pub(crate) fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        // Kept after a failure: its logs say why.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
