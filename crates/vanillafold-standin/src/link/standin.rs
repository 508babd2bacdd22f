//! A link process: its links and their control address.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::net::TcpListener;
use vanillafold_wire::http::{serve_connection, split};

use super::control::{LinkControlService, MAX_CONTROL_BYTES};
use super::relay::Link;
use crate::process::{accept_each, bind};

/// The addresses of a link.
#[derive(Debug, Clone, Copy)]
pub struct LinkSpec {
    /// Where the link listens; port 0 takes any free port.
    pub listen_address: SocketAddr,
    /// Where the link connects to for each connection that it accepts.
    pub forward_address: SocketAddr,
}

/// The configuration of a link process.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// The links of the process; their indices name them in control requests.
    pub links: Vec<LinkSpec>,
    /// Where the process takes control requests.
    pub control_address: SocketAddr,
}

/// A stand-in network process.
#[derive(Debug)]
pub struct LinkStandin {
    links: Rc<[Rc<Link>]>,
    listeners: Vec<TcpListener>,
    control: TcpListener,
}

impl LinkStandin {
    /// Opens the listeners of the links and of the control address; [`serve`](Self::serve) accepts
    /// their connections.
    ///
    /// # Errors
    ///
    /// An address is in use or can't be listened on.
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

    /// Returns where each link listens, in the order of [`LinkOptions::links`].
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.links.iter().map(|link| link.address).collect()
    }

    /// Returns where the process takes control requests.
    ///
    /// # Errors
    ///
    /// The operating system can't tell the address of the listener.
    pub fn control_address(&self) -> io::Result<SocketAddr> {
        self.control.local_addr()
    }

    /// Relays connections; never returns.
    pub async fn serve(self) {
        for (link, listener) in self.links.iter().zip(self.listeners) {
            monoio::spawn(serve_link(Rc::clone(link), listener));
        }
        let control_service = LinkControlService { links: self.links };
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

async fn serve_link(link: Rc<Link>, listener: TcpListener) {
    accept_each(&listener, |caller| {
        monoio::spawn(Rc::clone(&link).relay_connection(caller));
    })
    .await;
}
