//! The task that accepts connections from peers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio::time::sleep;

use super::handler::PeerHandler;
use super::session::serve;
use super::shared::Context;
use super::tasks::Tasks;

/// Delay after a failed accept; prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Binds the listener without `SO_REUSEPORT`, so that only one daemon can start on an address.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(address, &options)
}

/// Accepts connections from peers until the set closes.
pub(crate) async fn accept_peers<H: PeerHandler>(context: Context<H>, listener: TcpListener) {
    let closing = &context.shared.closing;
    while let Some(accepted) = closing.run_until_set(listener.accept()).await {
        match accepted {
            Ok((tcp, _)) => admit(&context, tcp),
            Err(error) => {
                log::warn!(
                    "accepting a connection from a peer failed: {error}; accepting again after a delay"
                );
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn admit<H: PeerHandler>(context: &Context<H>, tcp: TcpStream) {
    let shared = &context.shared;
    if shared.session_count() >= shared.settings.max_inbound {
        shared.count(|c| c.refused_too_many += 1);
        return;
    }
    Tasks::spawn(&shared.tasks, serve(context.clone(), tcp));
}
