//! The stand-in network as a process: TCP relays that drop, hold back or delay bytes on demand.

use std::io;
use std::net::SocketAddr;

use bpaf::{Parser, construct, long};
use vanillafold_standin::link::{LinkOptions, LinkSpec, LinkStandin};
use vanillafold_standin::process::{print_ready_with_control, run};

fn options() -> bpaf::OptionParser<LinkOptions> {
    let listen_address = long("listen")
        .help("where a relay listens; port 0 takes a free port")
        .argument::<SocketAddr>("IP:PORT");
    let forward_address = long("to")
        .help("where it connects to")
        .argument::<SocketAddr>("IP:PORT");
    let links = construct!(LinkSpec {
        listen_address,
        forward_address
    })
    .some("give at least one relay with --listen and --to");
    let control_address = long("control")
        .help("where the process is controlled")
        .argument::<SocketAddr>("IP:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    construct!(LinkOptions {
        links,
        control_address
    })
    .to_options()
    .descr("TCP relays that lose, hold or delay what passes")
}

fn main() -> io::Result<()> {
    let options = options().run();
    run(async move {
        let link = LinkStandin::bind(options)?;
        let addresses = link.addresses();
        for (index, address) in addresses.iter().enumerate() {
            println!("link index={index} address={address}");
        }
        print_ready_with_control(addresses[0], link.control_address()?);
        link.serve().await;
        Ok(())
    })
}
