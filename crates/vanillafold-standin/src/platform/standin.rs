//! The platform as a whole: its parts, and what it tells runners.

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

/// The largest body of a request: a VM list of the largest fleet.
const MAX_BODY_BYTES: usize = 4 << 20;

/// How often a runner is told something until it has answered.
const TELL_ATTEMPTS: u32 = 20;
const TELL_PAUSE: Duration = Duration::from_millis(250);
const TELL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How a stand-in platform starts.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Where it listens; port 0 takes a free port.
    pub address: SocketAddr,
    /// The seed of its chances.
    pub seed: u64,
    /// How long a VM takes to reboot.
    pub reboot_ms: Millis,
    /// Its faults and limits at the start.
    pub faults: Faults,
}

/// The stand-in platform.
#[derive(Debug)]
pub struct PlatformStandin {
    listener: TcpListener,
    shared: Rc<Shared>,
}

/// What all connections share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) faults: RefCell<Faults>,
    pub(crate) catalogue: RefCell<LogStream>,
    pub(crate) control: RefCell<LogStream>,
    pub(crate) rate: RefCell<RateLimit>,
    pub(crate) random: RefCell<Random>,
    pub(crate) vms: RefCell<VmTable>,
    /// Records were appended or faults changed.
    pub(crate) changed: Notify,
    reboot_ms: Millis,
}

impl PlatformStandin {
    /// Listens, but serves nothing yet.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub fn bind(options: PlatformOptions) -> io::Result<Self> {
        let shared = Shared {
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
            shared: Rc::new(shared),
        })
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// Those of the system.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves for ever.
    pub async fn serve(self) {
        let shared = self.shared;
        accept_each(&self.listener, |stream| {
            let shared = Rc::clone(&shared);
            monoio::spawn(async move {
                let (reader, writer) = split(stream);
                let service = PlatformService { shared };
                serve_connection(&service, reader, writer, MAX_BODY_BYTES).await;
            });
        })
        .await;
    }
}

impl Shared {
    /// Drains a VM; `false` if there is none of this name.
    pub(crate) fn drain(self: &Rc<Self>, id: &VmId) -> bool {
        let mut vms = self.vms.borrow_mut();
        match vms.get_mut(id).map(|vm| vm.entry.state) {
            None => return false,
            Some(VmState::Live) => {}
            Some(_) => return true,
        }
        vms.set_state(id, VmState::Leaving, Instant::now());
        let shared = Rc::clone(self);
        let id = id.clone();
        monoio::spawn(async move { shared.tell(&id, "mode", "leaving=true\n").await });
        true
    }

    /// Reboots a VM; `false` if there is none of this name.
    pub(crate) fn reboot(self: &Rc<Self>, id: &VmId) -> bool {
        let mut vms = self.vms.borrow_mut();
        match vms.get_mut(id) {
            None => return false,
            Some(vm) if vm.reboots || vm.entry.state == VmState::Gone => return true,
            Some(vm) => vm.reboots = true,
        }
        vms.set_state(id, VmState::Leaving, Instant::now());
        let shared = Rc::clone(self);
        let id = id.clone();
        monoio::spawn(async move { shared.finish_reboot(&id).await });
        true
    }

    async fn finish_reboot(&self, id: &VmId) {
        let reboot_ms = self.reboot_ms;
        let body = format!("reboot_ms={}\n", reboot_ms.get());
        self.tell(id, "reboot", &body).await;
        sleep(reboot_ms.duration()).await;
        let mut vms = self.vms.borrow_mut();
        let Some(vm) = vms.get_mut(id) else { return };
        vm.reboots = false;
        if vm.entry.state == VmState::Leaving {
            vms.set_state(id, VmState::Live, Instant::now());
        }
    }

    /// Posts a control to a VM's runner until it answers, or gives up on it.
    async fn tell(&self, id: &VmId, control: &str, body: &str) {
        let path = format!("/control/{control}?vm={id}");
        for _ in 0..TELL_ATTEMPTS {
            let Some(address) = self.control_address(id) else {
                return;
            };
            let mut client = Client::new(address, TELL_TIMEOUT);
            let body = Bytes::copy_from_slice(body.as_bytes());
            let answer = client
                .request(Method::POST, &path, &HeaderMap::new(), body)
                .await;
            match answer {
                Ok(answer) if answer.status().is_success() => return,
                _ => sleep(TELL_PAUSE).await,
            }
        }
    }

    fn control_address(&self, id: &VmId) -> Option<SocketAddr> {
        let mut vms = self.vms.borrow_mut();
        vms.get_mut(id)
            .map(|vm| vm.control.unwrap_or(vm.entry.address))
    }
}
