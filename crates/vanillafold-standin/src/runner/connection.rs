//! One connection to a VM of a runner: reads requests and writes answers.

use std::io;
use std::rc::Rc;

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{Method, Request, StatusCode};
use monoio::net::TcpStream;
use vanillafold_wire::http::{
    BodyError, BodyReader, Framing, HeadError, HttpReader, HttpWriter, RequestHead,
    encode_response_head, request_framing, split,
};

use super::control::{MAX_CONTROL_BYTES, RunnerControlService};
use super::mode::Mode;
use super::vm::{Vm, WorkRefusal};
use super::work::Work;
use super::work_request::WorkRequest;
use crate::trace::AnswerBody;

const VF_LOAD: HeaderName = HeaderName::from_static("vf-load");
const VF_NOT_RUN: HeaderName = HeaderName::from_static("vf-not-run");

/// The size of the unsent part of an answer above which it is flushed, in bytes.
const MAX_UNSENT_BYTES: usize = 64 * 1024;

/// Why a connection is closed.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error(transparent)]
    Head(#[from] HeadError),
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("malformed request framing, or a control body over the size limit")]
    Malformed,
    #[error("the connection is closed as an injected fault")]
    Deliberate,
}

type ServeResult = Result<(), ConnectionError>;

/// A connection to one VM.
#[derive(Debug)]
pub(crate) struct Connection {
    vm: Rc<Vm>,
    control_service: RunnerControlService,
    reader: HttpReader,
    writer: HttpWriter,
}

impl Connection {
    pub(crate) fn new(
        vm: Rc<Vm>,
        control_service: RunnerControlService,
        stream: TcpStream,
    ) -> Self {
        let (reader, writer) = split(stream);
        Self {
            vm,
            control_service,
            reader,
            writer,
        }
    }

    /// Serves requests one after the other until either end closes.
    pub(crate) async fn serve(mut self) {
        while self.serve_request().await.is_ok() {}
    }

    async fn serve_request(&mut self) -> ServeResult {
        let head = self.reader.read_request_head().await?;
        let framing = request_framing(&head.headers).map_err(|_| ConnectionError::Malformed)?;
        let body = BodyReader::new(framing);
        match head.uri.path() {
            "/work" => self.serve_work(head, framing, body).await,
            "/vf-health" => self.serve_health_check(body).await,
            path if path.starts_with("/control/") => self.serve_control(head, body).await,
            _ => {
                self.answer_without_body(StatusCode::NOT_FOUND, None, body)
                    .await
            }
        }
    }

    // --- Health checks, refusals and controls --------------------------------------------------

    async fn serve_health_check(&mut self, mut body: BodyReader) -> ServeResult {
        let settings = self.vm.settings();
        match settings.mode {
            Mode::Hang => self.hang(&mut body).await,
            Mode::Fail => {
                self.answer_without_body(StatusCode::INTERNAL_SERVER_ERROR, None, body)
                    .await
            }
            _ if settings.leaving => self.answer_not_run(WorkRefusal::Leaving, body).await,
            _ => self.answer_without_body(StatusCode::OK, None, body).await,
        }
    }

    async fn answer_not_run(&mut self, reason: WorkRefusal, body: BodyReader) -> ServeResult {
        let reason = match reason {
            WorkRefusal::Busy => "busy",
            WorkRefusal::Leaving => "leaving",
        };
        self.answer_without_body(StatusCode::SERVICE_UNAVAILABLE, Some(reason), body)
            .await
    }

    /// Answers without a body, then reads and discards the rest of the request.
    async fn answer_without_body(
        &mut self,
        status: StatusCode,
        not_run: Option<&'static str>,
        mut body: BodyReader,
    ) -> ServeResult {
        let load = (VF_LOAD, HeaderValue::from(self.vm.load()));
        let reason = not_run.map(|reason| (VF_NOT_RUN, HeaderValue::from_static(reason)));
        let headers = std::iter::once(&load).chain(&reason);
        let headers = headers.map(|(name, value)| (name, value));
        encode_response_head(self.writer.buffer(), status, headers, Framing::Empty);
        self.writer.flush().await?;
        self.discard_body(&mut body).await
    }

    async fn serve_control(&mut self, head: RequestHead, mut body: BodyReader) -> ServeResult {
        let mut content = Vec::new();
        while let Some(piece) = body.next(&mut self.reader).await? {
            content.extend_from_slice(&piece);
            if content.len() > MAX_CONTROL_BYTES {
                return Err(ConnectionError::Malformed);
            }
        }
        let request = Request::from_parts(head, Bytes::from(content));
        let (head, body) = self.control_service.answer(&request).into_parts();
        let framing = Framing::Length(body.len() as u64);
        encode_response_head(
            self.writer.buffer(),
            head.status,
            head.headers.iter(),
            framing,
        );
        self.writer.write_body_piece(framing, body).await?;
        Ok(self.writer.flush().await?)
    }

    // --- Work ----------------------------------------------------------------------------------

    async fn serve_work(
        &mut self,
        head: RequestHead,
        framing: Framing,
        mut body: BodyReader,
    ) -> ServeResult {
        let Ok(request) = WorkRequest::parse(&head.headers) else {
            return self
                .answer_without_body(StatusCode::BAD_REQUEST, None, body)
                .await;
        };
        let mut work = match Work::start(&self.vm, request) {
            Ok(work) => work,
            Err(reason) => return self.answer_not_run(reason, body).await,
        };
        let served = match work.mode() {
            Mode::Hang => self.hang(&mut body).await,
            Mode::Fail | Mode::Blackhole => self.fail_work(&mut work, body).await,
            _ if work.request().is_echo => self.echo_body(&mut work, framing, body).await,
            _ => self.run_work(&mut work, &head.method, body).await,
        };
        work.mark_request_read();
        served
    }

    async fn fail_work(&mut self, work: &mut Work, body: BodyReader) -> ServeResult {
        work.mark_request_read();
        work.wait_until_finished().await;
        self.answer_without_body(StatusCode::INTERNAL_SERVER_ERROR, None, body)
            .await
    }

    /// Gives no answer: waits until the caller closes or the VM's mode changes, then closes.
    async fn hang(&mut self, body: &mut BodyReader) -> ServeResult {
        let vm = Rc::clone(&self.vm);
        monoio::select! {
            () = self.caller_closed(body) => {}
            () = vm.wait_until_mode_changes(Mode::Hang) => {}
        }
        Err(ConnectionError::Deliberate)
    }

    async fn caller_closed(&mut self, body: &mut BodyReader) {
        if self.discard_body(body).await.is_ok() {
            self.reader.closed().await;
        }
    }

    async fn run_work(
        &mut self,
        work: &mut Work,
        method: &Method,
        mut body: BodyReader,
    ) -> ServeResult {
        self.discard_body(&mut body).await?;
        work.mark_request_read();
        monoio::select! {
            biased;
            () = work.wait_until_finished() => {}
            () = self.reader.closed() => return Err(HeadError::Closed.into()),
        }
        self.write_answer(work, method).await
    }

    async fn write_answer(&mut self, work: &Work, method: &Method) -> ServeResult {
        let request = work.request();
        let bytes = match *method {
            Method::HEAD => 0,
            _ => request.answer_bytes,
        };
        let framing = match bytes {
            _ if request.answer_chunked && *method != Method::HEAD => Framing::Chunked,
            0 => Framing::Empty,
            bytes => Framing::Length(bytes),
        };
        self.write_answer_head(self.vm.load(), framing);
        let mut remaining_bytes = match work.mode() {
            Mode::Cut => bytes / 2,
            _ => bytes,
        };
        for mut piece in AnswerBody::new(&request.request_id, bytes) {
            piece.truncate(usize::try_from(remaining_bytes).unwrap_or(usize::MAX));
            remaining_bytes -= piece.len() as u64;
            if !piece.is_empty() {
                self.writer.write_body_piece(framing, piece).await?;
            }
            if self.writer.buffer().len() > MAX_UNSENT_BYTES {
                self.writer.flush().await?;
            }
        }
        match work.mode() {
            Mode::Cut => self.cut_answer().await,
            _ => self.finish_answer(framing).await,
        }
    }

    /// Sends the request's body back as the answer's while it arrives.
    async fn echo_body(
        &mut self,
        work: &mut Work,
        framing: Framing,
        mut body: BodyReader,
    ) -> ServeResult {
        // The request's own slot is not counted: other answers are written after it is released.
        self.write_answer_head(self.vm.load().saturating_sub(1), framing);
        self.writer.flush().await?;
        while let Some(piece) = body.next(&mut self.reader).await? {
            match work.mode() {
                Mode::Cut => return self.cut_answer().await,
                // The last byte is sent only after the work has ended.
                _ if body.is_done() => finish_work(work).await,
                _ => {}
            }
            self.writer.write_body_piece(framing, piece).await?;
            self.writer.flush().await?;
        }
        finish_work(work).await;
        match work.mode() {
            Mode::Cut => self.cut_answer().await,
            _ => self.finish_answer(framing).await,
        }
    }

    fn write_answer_head(&mut self, load: u32, framing: Framing) {
        let load = (VF_LOAD, HeaderValue::from(load));
        let headers = std::iter::once((&load.0, &load.1));
        encode_response_head(self.writer.buffer(), StatusCode::OK, headers, framing);
    }

    async fn finish_answer(&mut self, framing: Framing) -> ServeResult {
        self.writer.write_body_end(framing);
        Ok(self.writer.flush().await?)
    }

    /// Sends what is buffered, except for its last byte, and closes the connection.
    async fn cut_answer(&mut self) -> ServeResult {
        let buffer = self.writer.buffer();
        buffer.truncate(buffer.len().saturating_sub(1));
        self.writer.flush().await?;
        Err(ConnectionError::Deliberate)
    }

    async fn discard_body(&mut self, body: &mut BodyReader) -> ServeResult {
        while body.next(&mut self.reader).await?.is_some() {}
        Ok(())
    }
}

async fn finish_work(work: &mut Work) {
    work.mark_request_read();
    work.wait_until_finished().await;
}
