//! RPCs between daemons of the same and of different versions.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use vanillafold_wire::{RpcClient, RpcError, RpcHandler, serve_rpcs};

const LIMIT: Duration = Duration::from_secs(20);

/// Adds the numbers that it is sent, and counts them.
struct Adder {
    calls: Rc<Cell<u32>>,
}

impl RpcHandler for Adder {
    const PATH: &'static str = "/adder/2";

    type Request = (u32, u32);
    type Answer = u32;

    async fn answer(&self, (left, right): (u32, u32)) -> Option<u32> {
        self.calls.set(self.calls.get() + 1);
        Some(left + right)
    }
}

fn run(test: impl Future<Output = ()>) {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test);
}

/// Serves an adder and returns its address and the number of its calls.
fn serve_adder() -> (SocketAddr, Rc<Cell<u32>>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).expect("a free port");
    let address = listener.local_addr().expect("its address");
    let calls = Rc::new(Cell::new(0));
    let handler = Rc::new(Adder {
        calls: Rc::clone(&calls),
    });
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(serve_rpcs(stream, Rc::clone(&handler)));
        }
    });
    (address, calls)
}

#[test]
fn a_call_is_answered() {
    run(async {
        let (address, calls) = serve_adder();
        let client = RpcClient::new(address, Adder::PATH, LIMIT);

        let sum: Result<u32, RpcError> = client.call(&(2_u32, 3_u32), LIMIT).await;

        assert_eq!(sum.ok(), Some(5));
        assert_eq!(calls.get(), 1);
    });
}

#[test]
fn a_call_of_another_version_is_not_read_and_counts_as_not_sent() {
    run(async {
        let (address, calls) = serve_adder();
        let client = RpcClient::new(address, "/adder/1", LIMIT);

        let sum: Result<u32, RpcError> = client.call(&(2_u32, 3_u32), LIMIT).await;

        assert!(matches!(sum, Err(RpcError::NotSent { .. })), "{sum:?}");
        assert_eq!(calls.get(), 0);
    });
}
