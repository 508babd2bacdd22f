//! The platform process: its state, drains and reboots of VMs, and the controls it sends to
//! runners.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method};
use monoio::net::TcpListener;
use monoio::time::sleep;
use vanillafold_types::{Millis, VmId};
use vanillafold_wire::http::{Client, serve_connection, split};
use vanillafold_wire::platform::VmState;

use super::Faults;
use super::log::LogStream;
use super::rate::RateLimit;
use super::service::PlatformService;
use super::vms::VmTable;
use crate::process::{Notify, Random, accept_each, bind};

/// The largest body of a request, in bytes: enough for the VM list of the largest fleet.
const MAX_BODY_BYTES: usize = 4 << 20;

/// How often a control request is sent to a runner that does not answer it with success.
const CONTROL_ATTEMPTS: u32 = 20;
const CONTROL_RETRY_PAUSE: Duration = Duration::from_millis(250);
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The configuration of a stand-in platform.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Where the platform listens; port 0 takes any free port.
    pub address: SocketAddr,
    /// The seed of the random numbers that decide which answers to appends are lost.
    pub seed: u64,
    /// How long a VM takes to reboot.
    pub reboot_ms: Millis,
    /// The faults and limits at the start; `/control/faults` changes them.
    pub faults: Faults,
}

/// A stand-in platform process.
#[derive(Debug)]
pub struct PlatformStandin {
    listener: TcpListener,
    state: Rc<PlatformState>,
}

/// The state that all connections to the platform share.
#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) faults: RefCell<Faults>,
    pub(crate) catalogue: RefCell<LogStream>,
    pub(crate) control: RefCell<LogStream>,
    pub(crate) rate: RefCell<RateLimit>,
    pub(crate) random: RefCell<Random>,
    pub(crate) vms: RefCell<VmTable>,
    /// Notified when a record is appended and when the faults change.
    pub(crate) changed: Notify,
    reboot_ms: Millis,
}

impl PlatformStandin {
    /// Opens the listener; [`serve`](Self::serve) accepts its connections.
    ///
    /// # Errors
    ///
    /// The address is in use or can't be listened on.
    pub fn bind(options: PlatformOptions) -> io::Result<Self> {
        let state = PlatformState {
            faults: RefCell::new(options.faults),
            catalogue: RefCell::new(LogStream::new()),
            control: RefCell::new(LogStream::new()),
            rate: RefCell::new(RateLimit::new(Instant::now())),
            random: RefCell::new(Random::new(options.seed)),
            vms: RefCell::default(),
            changed: Notify::default(),
            reboot_ms: options.reboot_ms,
        };
        Ok(Self {
            listener: bind(options.address)?,
            state: Rc::new(state),
        })
    }

    /// Returns where the platform listens.
    ///
    /// # Errors
    ///
    /// The operating system can't tell the address of the listener.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves connections; never returns.
    pub async fn serve(self) {
        let state = self.state;
        accept_each(&self.listener, |stream| {
            let state = Rc::clone(&state);
            monoio::spawn(async move {
                let (reader, writer) = split(stream);
                let service = PlatformService { state };
                serve_connection(&service, reader, writer, MAX_BODY_BYTES).await;
            });
        })
        .await;
    }
}

impl PlatformState {
    /// Marks a live VM as leaving and has its runner refuse new work; returns `false` if there
    /// is no VM of this id.
    pub(crate) fn drain(self: &Rc<Self>, id: &VmId) -> bool {
        let mut vms = self.vms.borrow_mut();
        match vms.get_mut(id).map(|vm| vm.entry.state) {
            None => return false,
            Some(VmState::Live) => {}
            Some(_) => return true,
        }
        vms.set_state(id, VmState::Leaving, Instant::now());
        let state = Rc::clone(self);
        let id = id.clone();
        monoio::spawn(async move { state.post_control(&id, "mode", "leaving=true\n").await });
        true
    }

    /// Starts the reboot of a VM that is neither gone nor rebooting; returns `false` if there is no
    /// VM of this id.
    pub(crate) fn reboot(self: &Rc<Self>, id: &VmId) -> bool {
        let mut vms = self.vms.borrow_mut();
        match vms.get_mut(id) {
            None => return false,
            Some(vm) if vm.is_rebooting || vm.entry.state == VmState::Gone => return true,
            Some(vm) => vm.is_rebooting = true,
        }
        vms.set_state(id, VmState::Leaving, Instant::now());
        let state = Rc::clone(self);
        let id = id.clone();
        monoio::spawn(async move { state.finish_reboot(&id).await });
        true
    }

    async fn finish_reboot(&self, id: &VmId) {
        let reboot_ms = self.reboot_ms;
        let body = format!("reboot_ms={}\n", reboot_ms.get());
        self.post_control(id, "reboot", &body).await;
        sleep(reboot_ms.duration()).await;
        let mut vms = self.vms.borrow_mut();
        let Some(vm) = vms.get_mut(id) else { return };
        vm.is_rebooting = false;
        if vm.entry.state == VmState::Leaving {
            vms.set_state(id, VmState::Live, Instant::now());
        }
    }

    /// Posts a control request to a VM's runner until it is answered with success or
    /// [`CONTROL_ATTEMPTS`] have failed.
    async fn post_control(&self, id: &VmId, control: &str, body: &str) {
        let path = format!("/control/{control}?vm={id}");
        for _ in 0..CONTROL_ATTEMPTS {
            let Some(address) = self.control_address(id) else {
                return;
            };
            let mut client = Client::new(address, CONTROL_TIMEOUT);
            let body = Bytes::copy_from_slice(body.as_bytes());
            let answer = client
                .request(Method::POST, &path, &HeaderMap::new(), body)
                .await;
            match answer {
                Ok(answer) if answer.status().is_success() => return,
                _ => sleep(CONTROL_RETRY_PAUSE).await,
            }
        }
    }

    fn control_address(&self, id: &VmId) -> Option<SocketAddr> {
        let mut vms = self.vms.borrow_mut();
        vms.get_mut(id)
            .map(|vm| vm.control.unwrap_or(vm.entry.address))
    }
}
