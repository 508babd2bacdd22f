//! The control API of a runner process: `/control/stats`, `/control/mode`, `/control/reboot`.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use vanillafold_types::Millis;
use vanillafold_wire::http::Service;

use super::vm::Vm;
use crate::process::{AssignmentError, parse_assignments};

/// The largest control body, in bytes.
pub(crate) const MAX_CONTROL_BYTES: usize = 4 * 1024;

/// Answers control requests for a set of VMs: at a VM's own address for this VM, at the control
/// address for all VMs of the process.
#[derive(Debug, Clone)]
pub(crate) struct RunnerControlService {
    pub(crate) vms: Rc<[Rc<Vm>]>,
}

impl Service for RunnerControlService {
    async fn answer(&self, request: Request<Bytes>) -> Option<Response<Bytes>> {
        Some(Self::answer(self, &request))
    }
}

impl RunnerControlService {
    /// Answers a control request; it applies to the VM in `?vm=ID`, otherwise to all VMs here.
    pub(crate) fn answer(&self, request: &Request<Bytes>) -> Response<Bytes> {
        let query = request.uri().query().unwrap_or_default();
        let named = query.strip_prefix("vm=");
        let selected: Vec<&Rc<Vm>> = self
            .vms
            .iter()
            .filter(|vm| named.is_none_or(|name| vm.name.as_str() == name))
            .collect();
        if selected.is_empty() {
            return answer(StatusCode::NOT_FOUND, "no such VM in this process\n".into());
        }
        let result = match (request.method(), request.uri().path()) {
            (&Method::GET, "/control/stats") => return answer(StatusCode::OK, stats(&selected)),
            (&Method::POST, "/control/mode") => set_mode(&selected, request.body()),
            (&Method::POST, "/control/reboot") => reboot(&selected, request.body()),
            _ => return answer(StatusCode::NOT_FOUND, "no such control\n".into()),
        };
        match result {
            Ok(()) => answer(StatusCode::OK, String::new()),
            Err(error) => answer(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

fn set_mode(vms: &[&Rc<Vm>], body: &[u8]) -> Result<(), AssignmentError> {
    vms.iter().try_for_each(|vm| vm.set_mode(body))
}

fn reboot(vms: &[&Rc<Vm>], body: &[u8]) -> Result<(), AssignmentError> {
    let mut reboot_ms = Millis::ZERO;
    for line in parse_assignments(body)? {
        match line.name {
            "reboot_ms" => reboot_ms = line.parse()?,
            _ => return Err(line.unknown()),
        }
    }
    for vm in vms.iter().map(|vm| Rc::clone(vm)) {
        monoio::spawn(async move { vm.reboot(reboot_ms).await });
    }
    Ok(())
}

/// Returns the statistics of each VM as a JSON object on a line of its own.
fn stats(vms: &[&Rc<Vm>]) -> String {
    let lines = vms.iter().map(|vm| serde_json::to_string(&vm.stats()));
    lines.flatten().map(|line| line + "\n").collect()
}

fn answer(status: StatusCode, body: String) -> Response<Bytes> {
    let mut answer = Response::new(Bytes::from(body));
    *answer.status_mut() = status;
    answer
}
