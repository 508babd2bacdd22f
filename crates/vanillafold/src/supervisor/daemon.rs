//! The root of the supervisor tree: starts the tasks, waits for a signal and stops gracefully.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use monoio::net::{ListenerOpts, TcpListener};
use monoio::time::{sleep, timeout};
use vanillafold_state::Stream;
use vanillafold_wire::platform::HttpPlatform;

use super::signal::SignalWatch;
use super::task::supervise;
use crate::admin::serve_admin;
use crate::append::{Change, write_records};
use crate::caller::serve_callers;
use crate::claim::recover_claims;
use crate::counter::Counters;
use crate::follow::{check_health, follow_log, follow_vms};
use crate::limit::run_escrow;
use crate::node::Node;
use crate::peer::{PeerStartError, run_reporter, start_peers};
use crate::recover::{follow_peer_records, restore_from_peers, write_snapshots};
use crate::settings::Settings;

/// Maximum number of connections that wait to be accepted on a listening socket.
const BACKLOG: i32 = 4_096;

/// Timeout for leaving the fleet.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between checks whether the daemon can leave and whether its record has been written.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a daemon did not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DaemonError {
    /// The daemon could not listen on an address.
    #[error("can't listen on {address} for {purpose}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Who connects to the address.
        purpose: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The runtime or the signals could not be set up.
    #[error("can't start: {0}")]
    Start(#[from] io::Error),
    /// The peer protocol did not start.
    #[error("can't start the peer protocol: {0}")]
    Peers(#[from] PeerStartError),
    /// The metrics recorder could not be installed.
    #[error("can't install the metrics recorder: {0}")]
    Metrics(String),
}

/// A daemon that is ready to run.
#[derive(Debug)]
pub struct Daemon {
    settings: Settings,
}

impl Daemon {
    /// Creates a daemon with the given settings; [`Daemon::run`] starts it.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// Runs until SIGTERM or SIGINT, or until a later incarnation of the daemon joins, then stops
    /// gracefully.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] if it can't start.
    pub fn run(self) -> Result<(), DaemonError> {
        // The driver is named because the default one uses io_uring where the kernel supports it.
        let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
            .enable_timer()
            .build()?;
        let metrics = install_metrics()?;
        runtime.block_on(run(self.settings, metrics))
    }
}

/// Installs the global metrics recorder and returns the handle that renders the page of metrics.
///
/// # Errors
///
/// [`DaemonError::Metrics`] if a recorder has been installed before.
pub fn install_metrics() -> Result<PrometheusHandle, DaemonError> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)
        .map_err(|error| DaemonError::Metrics(error.to_string()))?;
    Ok(handle)
}

async fn run(settings: Settings, metrics: PrometheusHandle) -> Result<(), DaemonError> {
    let mut signal = SignalWatch::for_stop()?;
    let callers = Rc::new(listen(settings.caller_address, "callers")?);
    let admin = Rc::new(listen(settings.admin_address, "operators")?);
    let node = Node::new(settings, Counters::register());
    let platform = Rc::new(HttpPlatform::new(
        node.settings.platform.address,
        node.settings.platform.timeout_ms,
    ));

    let peers = start_peers(&node)?;
    *node.peers.borrow_mut() = Some(peers.handle());

    for stream in [Stream::Catalogue, Stream::Control] {
        let (task_node, platform) = (Rc::clone(&node), Rc::clone(&platform));
        supervise(&node, "log", move || {
            follow_log(Rc::clone(&task_node), Rc::clone(&platform), stream)
        });
    }
    let (task_node, task_platform) = (Rc::clone(&node), Rc::clone(&platform));
    supervise(&node, "vm_list", move || {
        follow_vms(Rc::clone(&task_node), Rc::clone(&task_platform))
    });
    let task_node = Rc::clone(&node);
    supervise(&node, "health", move || check_health(Rc::clone(&task_node)));
    let task_node = Rc::clone(&node);
    supervise(&node, "callers", move || {
        serve_callers(Rc::clone(&task_node), Rc::clone(&callers))
    });
    let task_node = Rc::clone(&node);
    supervise(&node, "admin", move || {
        serve_admin(Rc::clone(&task_node), Rc::clone(&admin), metrics.clone())
    });
    let (task_node, task_platform) = (Rc::clone(&node), Rc::clone(&platform));
    supervise(&node, "record_writer", move || {
        write_records(Rc::clone(&task_node), Rc::clone(&task_platform))
    });
    let task_node = Rc::clone(&node);
    supervise(&node, "claims", move || {
        recover_claims(Rc::clone(&task_node))
    });
    let task_node = Rc::clone(&node);
    supervise(&node, "escrow", move || run_escrow(Rc::clone(&task_node)));
    let (task_node, handle) = (Rc::clone(&node), peers.handle());
    supervise(&node, "peer_reports", move || {
        run_reporter(Rc::clone(&task_node), handle.clone())
    });
    let task_node = Rc::clone(&node);
    supervise(&node, "snapshots", move || {
        write_snapshots(Rc::clone(&task_node))
    });
    let (task_node, handle) = (Rc::clone(&node), peers.handle());
    supervise(&node, "peer_start", move || {
        restore_from_peers(Rc::clone(&task_node), handle.clone())
    });
    let (task_node, handle) = (Rc::clone(&node), peers.handle());
    supervise(&node, "peer_records", move || {
        follow_peer_records(Rc::clone(&task_node), handle.clone())
    });
    info!(
        "daemon {} accepts callers on {}",
        node.settings.name, node.settings.caller_address
    );

    monoio::select! {
        () = signal.received() => {}
        () = node.superseded.wait() => {}
    }
    stop(&node).await;
    peers.close().await;
    Ok(())
}

/// Stops in four steps: announces the stop, accepts no new requests, waits for the accepted ones to
/// end, and leaves the fleet.
async fn stop(node: &Node) {
    let timeouts = &node.settings.timeouts;
    info!("stopping with {} requests in flight", node.requests.count());
    node.draining.set();
    sleep(timeouts.notice_ms.duration()).await;
    node.closing.set();
    let drained = timeout(timeouts.stop_ms.duration(), node.requests.drained()).await;
    if timeout(LEAVE_TIMEOUT, leave(node)).await.is_err() {
        warn!(
            "leaving the fleet timed out with {} records left to write; the next incarnation may \
             have to wait for its units",
            node.writer.pending_count()
        );
    }
    match drained {
        Ok(()) => info!("stopped"),
        Err(_) => warn!("stopped before {} requests ended", node.requests.count()),
    }
    node.shutdown.set();
}

/// Gives all units back and writes a record of it to the log, so that the daemon's next incarnation
/// may use its share at once. Waits until this and all other queued records have been written.
async fn leave(node: &Node) {
    // An incarnation that another one has superseded has no units left to give back.
    if !node.superseded.is_set() {
        node.escrow.borrow_mut().leave();
        let record = loop {
            let record = node.escrow.borrow().leave_record(node.boot_time());
            match record {
                Some(record) => break record,
                None => sleep(LEAVE_POLL_INTERVAL).await,
            }
        };
        node.writer.submit(Change::Control(record));
    }
    while node.writer.pending_count() > 0 {
        sleep(LEAVE_POLL_INTERVAL).await;
    }
}

fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, DaemonError> {
    let options = ListenerOpts::new()
        .reuse_port(false)
        .reuse_addr(true)
        .backlog(BACKLOG);
    TcpListener::bind_with_config(address, &options).map_err(|source| DaemonError::Listen {
        address,
        purpose,
        source,
    })
}
