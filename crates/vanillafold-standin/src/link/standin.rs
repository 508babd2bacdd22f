//! A link process: relays and their control address.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::net::TcpListener;
use vanillafold_wire::http::{serve_connection, split};

use super::control::{LinkControls, MAX_CONTROL_BYTES};
use super::relay::Link;
use crate::process::{accept_each, bind};

/// One relay.
#[derive(Debug, Clone, Copy)]
pub struct LinkSpec {
    /// Where it listens; port 0 takes a free port.
    pub listen_address: SocketAddr,
    /// Where it connects to.
    pub forward_address: SocketAddr,
}

/// How a link process starts.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// Its relays.
    pub links: Vec<LinkSpec>,
    /// Where it is controlled.
    pub control_address: SocketAddr,
}

/// A stand-in network.
#[derive(Debug)]
pub struct LinkStandin {
    links: Rc<[Rc<Link>]>,
    listeners: Vec<TcpListener>,
    control: TcpListener,
}

impl LinkStandin {
    /// Listens, but relays nothing yet.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub fn bind(options: LinkOptions) -> io::Result<Self> {
        let mut links = Vec::new();
        let mut listeners = Vec::new();
        for spec in options.links {
            let listener = bind(spec.listen_address)?;
            let link = Link::new(listener.local_addr()?, spec.forward_address);
            links.push(Rc::new(link));
            listeners.push(listener);
        }
        Ok(Self {
            links: links.into(),
            listeners,
            control: bind(options.control_address)?,
        })
    }

    /// Where each relay listens, in the order of the options.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.links.iter().map(|link| link.address).collect()
    }

    /// Where the process is controlled.
    ///
    /// # Errors
    ///
    /// Those of the system.
    pub fn control_address(&self) -> io::Result<SocketAddr> {
        self.control.local_addr()
    }

    /// Serves for ever.
    pub async fn serve(self) {
        for (link, listener) in self.links.iter().zip(self.listeners) {
            monoio::spawn(serve_link(Rc::clone(link), listener));
        }
        let controls = LinkControls { links: self.links };
        accept_each(&self.control, |stream| {
            let controls = controls.clone();
            monoio::spawn(async move {
                let (reader, writer) = split(stream);
                serve_connection(&controls, reader, writer, MAX_CONTROL_BYTES).await;
            });
        })
        .await;
    }
}

async fn serve_link(link: Rc<Link>, listener: TcpListener) {
    accept_each(&listener, |caller| {
        monoio::spawn(Rc::clone(&link).relay(caller));
    })
    .await;
}
