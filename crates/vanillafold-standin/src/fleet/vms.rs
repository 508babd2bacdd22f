//! The stand-in for the API for VMs: lists the VMs of the runners and accepts no operation.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use vanillafold_wire::http::Service;

use super::http::json_response;
use super::runner::Runner;

/// Lists a VM for each runner.
pub(super) struct VmService(pub(super) Rc<RefCell<Vec<Rc<Runner>>>>);

impl Service for VmService {
    async fn answer(&self, request: Request<Bytes>) -> Option<Response<Bytes>> {
        Some(match request.method() {
            &Method::GET => {
                let runners = self.0.borrow();
                let rows: Vec<Value> = runners.iter().map(|runner| runner.vm()).collect();
                let body = json!({ "machines": rows, "next_token": null });
                json_response(StatusCode::OK, &body)
            }
            _ => json_response(StatusCode::CONFLICT, &json!({ "reason": "busy" })),
        })
    }
}
