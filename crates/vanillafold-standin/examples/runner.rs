//! The stand-in runner as a process: plays VMs that do the work of a pool.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Parser, construct, long};
use vanillafold_standin::process::{print_ready_with_control, run};
use vanillafold_standin::runner::{RunnerOptions, RunnerStandin};
use vanillafold_standin::trace::{ProcessName, TraceWriter};
use vanillafold_types::{Connections, PoolId, Slots, VmId};

#[derive(Debug)]
struct Arguments {
    process: Option<ProcessName>,
    vms: Vec<VmId>,
    pool: PoolId,
    slots: Slots,
    connections: Connections,
    address: SocketAddr,
    control: SocketAddr,
    trace: Option<PathBuf>,
}

fn arguments() -> bpaf::OptionParser<Arguments> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let process = long("process")
        .help("name in traces [the first VM's]")
        .argument::<ProcessName>("NAME")
        .optional();
    let vms = long("vm")
        .help("a VM to serve; may be repeated")
        .argument::<VmId>("ID")
        .some("name at least one VM with --vm");
    let pool = long("pool")
        .help("the pool of the VMs")
        .argument::<PoolId>("POOL");
    let slots = long("slots")
        .help("slots of each VM")
        .argument::<Slots>("N")
        .fallback(Slots::new(8));
    let connections = long("connections")
        .help("connections of each VM")
        .argument::<Connections>("N")
        .fallback(Connections::new(64));
    let address = long("address")
        .help("where the first VM listens, the others at the ports that follow")
        .argument::<SocketAddr>("IP:PORT")
        .fallback(any_port);
    let control = long("control")
        .help("where the process is controlled")
        .argument::<SocketAddr>("IP:PORT")
        .fallback(any_port);
    let trace = long("trace")
        .help("directory to write the trace to")
        .argument::<PathBuf>("DIR")
        .optional();
    construct!(Arguments {
        process,
        vms,
        pool,
        slots,
        connections,
        address,
        control,
        trace
    })
    .to_options()
    .descr("VMs that do the work of a pool")
}

impl Arguments {
    fn into_options(self) -> io::Result<RunnerOptions> {
        let process = self
            .process
            .unwrap_or_else(|| ProcessName::from(self.vms[0].as_str()));
        let trace = self
            .trace
            .map(|dir| TraceWriter::create(&dir, &process))
            .transpose()
            .map_err(io::Error::other)?;
        Ok(RunnerOptions {
            process,
            vms: self.vms,
            pool: self.pool,
            slots: self.slots,
            connections: self.connections,
            first_vm_address: self.address,
            control_address: self.control,
            trace,
        })
    }
}

fn main() -> io::Result<()> {
    let arguments = arguments().run();
    run(async move {
        let vms = arguments.vms.clone();
        let runner = RunnerStandin::bind(arguments.into_options()?)?;
        let addresses = runner.addresses();
        for (vm, address) in vms.iter().zip(&addresses) {
            println!("vm id={vm} address={address}");
        }
        print_ready_with_control(addresses[0], runner.control_address()?);
        runner.serve().await;
        Ok(())
    })
}
