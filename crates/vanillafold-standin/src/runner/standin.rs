//! A runner process: one or several VMs of one pool, and a control address.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::net::TcpListener;
use vanillafold_types::{Connections, PoolId, Slots, VmId};
use vanillafold_wire::http::{serve_connection, split};

use super::connection::Connection;
use super::control::{MAX_CONTROL_BYTES, RunnerControlService};
use super::recorder::Recorder;
use super::vm::{Vm, VmLimits};
use crate::process::{accept_each, bind};
use crate::trace::{ProcessName, TraceWriter, VmName};

/// The configuration of a runner process.
#[derive(Debug)]
pub struct RunnerOptions {
    /// The name of the process in traces.
    pub process: ProcessName,
    /// The VMs that the process plays.
    pub vms: Vec<VmId>,
    /// The pool of the VMs.
    pub pool: PoolId,
    /// How many requests each VM works on at a time.
    pub slots: Slots,
    /// How many connections each VM keeps open at a time.
    pub connections: Connections,
    /// Where the first VM listens; the others listen on the ports that follow. Port 0 takes any
    /// free port for each VM.
    pub first_vm_address: SocketAddr,
    /// Where the process takes control requests, whatever mode its VMs are in.
    pub control_address: SocketAddr,
    /// The trace to which the process writes starts and ends of work and changes of its VMs, if
    /// any.
    pub trace: Option<TraceWriter>,
}

/// A stand-in runner process.
#[derive(Debug)]
pub struct RunnerStandin {
    vms: Rc<[Rc<Vm>]>,
    listeners: Vec<TcpListener>,
    control: TcpListener,
}

impl RunnerStandin {
    /// Opens the listeners of the VMs and of the control address; [`serve`](Self::serve) accepts
    /// their connections.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub fn bind(options: RunnerOptions) -> io::Result<Self> {
        let recorder = Rc::new(Recorder {
            process: options.process,
            pool: options.pool.as_str().into(),
            writer: options.trace.map(RefCell::new),
        });
        let limits = VmLimits {
            slots: options.slots,
            connections: options.connections,
        };
        let mut address = options.first_vm_address;
        let mut vms = Vec::new();
        let mut listeners = Vec::new();
        for id in options.vms {
            let listener = bind(address)?;
            let name = VmName::from(id.as_str());
            let recorder = Rc::clone(&recorder);
            let vm = Vm::new(name, listener.local_addr()?, limits, recorder);
            vms.push(Rc::new(vm));
            listeners.push(listener);
            if address.port() != 0 {
                address.set_port(address.port() + 1);
            }
        }
        Ok(Self {
            vms: vms.into(),
            listeners,
            control: bind(options.control_address)?,
        })
    }

    /// Returns where each VM listens, in the order of [`RunnerOptions::vms`].
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.address).collect()
    }

    /// Returns where the process takes control requests.
    ///
    /// # Errors
    ///
    /// The operating system can't tell the address of the listener.
    pub fn control_address(&self) -> io::Result<SocketAddr> {
        self.control.local_addr()
    }

    /// Serves connections; never returns.
    pub async fn serve(self) {
        for (vm, listener) in self.vms.iter().zip(self.listeners) {
            monoio::spawn(serve_vm(Rc::clone(vm), listener));
        }
        let control_service = RunnerControlService { vms: self.vms };
        accept_each(&self.control, |stream| {
            let control_service = control_service.clone();
            monoio::spawn(async move {
                let (reader, writer) = split(stream);
                serve_connection(&control_service, reader, writer, MAX_CONTROL_BYTES).await;
            });
        })
        .await;
    }
}

async fn serve_vm(vm: Rc<Vm>, listener: TcpListener) {
    let control_service = RunnerControlService {
        vms: [Rc::clone(&vm)].into(),
    };
    accept_each(&listener, |stream| {
        if vm.try_open_connection() {
            let connection = Connection::new(Rc::clone(&vm), control_service.clone(), stream);
            monoio::spawn(serve_stream(Rc::clone(&vm), connection));
        }
    })
    .await;
}

async fn serve_stream(vm: Rc<Vm>, connection: Connection) {
    let boot = vm.boot();
    monoio::select! {
        () = connection.serve() => {}
        () = vm.wait_until_rebooted(boot) => {}
    }
    vm.close_connection();
}
