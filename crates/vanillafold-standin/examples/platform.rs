//! The stand-in platform as a process: the log, the VM list and VM operations, in memory.

use std::io;
use std::net::SocketAddr;

use bpaf::{Parser, construct, long};
use vanillafold_standin::platform::{Faults, PlatformOptions, PlatformStandin};
use vanillafold_standin::process::{print_ready, run};
use vanillafold_types::Millis;

fn options() -> bpaf::OptionParser<PlatformOptions> {
    let address = long("address")
        .help("where to listen; port 0 takes a free port")
        .argument::<SocketAddr>("IP:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let seed = long("seed")
        .help("seed of lost answers")
        .argument::<u64>("N")
        .fallback(1);
    let reboot_ms = long("reboot-ms")
        .help("how long a VM takes to reboot")
        .argument::<Millis>("MS")
        .fallback(Millis::new(2_000));
    let faults = faults();
    construct!(PlatformOptions {
        address,
        seed,
        reboot_ms,
        faults
    })
    .to_options()
    .descr("The platform's log, VM list and VM orders, in memory")
}

fn faults() -> impl Parser<Faults> {
    let list_lag_ms = long("list-lag-ms")
        .help("the VM list shows what was true this long ago")
        .argument::<Millis>("MS")
        .fallback(Faults::default().list_lag_ms);
    let appends_per_s = long("append-rate")
        .help("appends a second")
        .argument::<u32>("N")
        .fallback(Faults::default().appends_per_s);
    let retention_records = long("retention-records")
        .help("records that a stream keeps")
        .argument::<usize>("N")
        .fallback(Faults::default().retention_records);
    construct!(list_lag_ms, appends_per_s, retention_records).map(
        |(list_lag_ms, appends_per_s, retention_records)| Faults {
            list_lag_ms,
            appends_per_s,
            retention_records,
            ..Faults::default()
        },
    )
}

fn main() -> io::Result<()> {
    let options = options().run();
    run(async move {
        let platform = PlatformStandin::bind(options)?;
        print_ready(platform.address()?);
        platform.serve().await;
        Ok(())
    })
}
