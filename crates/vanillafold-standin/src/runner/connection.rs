//! One connection to a runner.

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

use super::control::{Controls, MAX_CONTROL_BYTES};
use super::mode::Mode;
use super::order::WorkOrder;
use super::vm::{NotRun, Vm};
use super::work::Work;
use crate::trace::AnswerBody;

const VF_LOAD: HeaderName = HeaderName::from_static("vf-load");
const VF_NOT_RUN: HeaderName = HeaderName::from_static("vf-not-run");

/// What of an answer may wait to be sent, in bytes.
const MAX_UNSENT_BYTES: usize = 64 * 1024;

/// Why a connection ends.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error(transparent)]
    Head(#[from] HeadError),
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the request is malformed")]
    Malformed,
    #[error("the runner closes the connection on purpose")]
    OnPurpose,
}

type Served = Result<(), ConnectionError>;

/// A connection and whose it is.
#[derive(Debug)]
pub(crate) struct Connection {
    vm: Rc<Vm>,
    controls: Controls,
    reader: HttpReader,
    writer: HttpWriter,
}

impl Connection {
    pub(crate) fn new(vm: Rc<Vm>, controls: Controls, stream: TcpStream) -> Self {
        let (reader, writer) = split(stream);
        Self {
            vm,
            controls,
            reader,
            writer,
        }
    }

    /// Serves requests until one end closes.
    pub(crate) async fn serve(mut self) {
        while self.serve_one().await.is_ok() {}
    }

    async fn serve_one(&mut self) -> Served {
        let head = self.reader.read_request_head().await?;
        let framing = request_framing(&head.headers).map_err(|_| ConnectionError::Malformed)?;
        let body = BodyReader::new(framing);
        match head.uri.path() {
            "/work" => self.work(head, framing, body).await,
            "/vf-health" => self.health(body).await,
            path if path.starts_with("/control/") => self.control(head, body).await,
            _ => self.plain(StatusCode::NOT_FOUND, None, body).await,
        }
    }

    // --- Small answers -------------------------------------------------------------------------

    async fn health(&mut self, mut body: BodyReader) -> Served {
        let settings = self.vm.settings();
        match settings.mode {
            Mode::Hang => self.hang(&mut body).await,
            Mode::Fail => {
                self.plain(StatusCode::INTERNAL_SERVER_ERROR, None, body)
                    .await
            }
            _ if settings.leaving => self.not_run(NotRun::Leaving, body).await,
            _ => self.plain(StatusCode::OK, None, body).await,
        }
    }

    async fn not_run(&mut self, reason: NotRun, body: BodyReader) -> Served {
        let reason = match reason {
            NotRun::Busy => "busy",
            NotRun::Leaving => "leaving",
        };
        self.plain(StatusCode::SERVICE_UNAVAILABLE, Some(reason), body)
            .await
    }

    /// Answers without a body, then passes over the rest of the request.
    async fn plain(
        &mut self,
        status: StatusCode,
        not_run: Option<&'static str>,
        mut body: BodyReader,
    ) -> Served {
        let load = (VF_LOAD, HeaderValue::from(self.vm.load()));
        let reason = not_run.map(|reason| (VF_NOT_RUN, HeaderValue::from_static(reason)));
        let headers = std::iter::once(&load).chain(&reason);
        let headers = headers.map(|(name, value)| (name, value));
        encode_response_head(self.writer.buffer(), status, headers, Framing::Empty);
        self.writer.flush().await?;
        self.pass_over(&mut body).await
    }

    async fn control(&mut self, head: RequestHead, mut body: BodyReader) -> Served {
        let mut whole = Vec::new();
        while let Some(piece) = body.next(&mut self.reader).await? {
            whole.extend_from_slice(&piece);
            if whole.len() > MAX_CONTROL_BYTES {
                return Err(ConnectionError::Malformed);
            }
        }
        let request = Request::from_parts(head, Bytes::from(whole));
        let (head, body) = self.controls.answer(&request).into_parts();
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

    async fn work(&mut self, head: RequestHead, framing: Framing, mut body: BodyReader) -> Served {
        let Ok(order) = WorkOrder::parse(&head.headers) else {
            return self.plain(StatusCode::BAD_REQUEST, None, body).await;
        };
        let mut work = match Work::start(&self.vm, order) {
            Ok(work) => work,
            Err(reason) => return self.not_run(reason, body).await,
        };
        let served = match work.mode() {
            Mode::Hang => self.hang(&mut body).await,
            Mode::Fail | Mode::Blackhole => self.fail(&mut work, body).await,
            _ if work.order().echo => self.echo(&mut work, framing, body).await,
            _ => self.do_work(&mut work, &head.method, body).await,
        };
        work.request_read();
        served
    }

    async fn fail(&mut self, work: &mut Work, body: BodyReader) -> Served {
        work.request_read();
        work.finished().await;
        self.plain(StatusCode::INTERNAL_SERVER_ERROR, None, body)
            .await
    }

    /// Waits without an answer until the caller closes or the mode changes.
    async fn hang(&mut self, body: &mut BodyReader) -> Served {
        let vm = Rc::clone(&self.vm);
        monoio::select! {
            () = self.caller_closed(body) => {}
            () = vm.mode_ended(Mode::Hang) => {}
        }
        Err(ConnectionError::OnPurpose)
    }

    async fn caller_closed(&mut self, body: &mut BodyReader) {
        if self.pass_over(body).await.is_ok() {
            self.reader.closed().await;
        }
    }

    async fn do_work(&mut self, work: &mut Work, method: &Method, mut body: BodyReader) -> Served {
        self.pass_over(&mut body).await?;
        work.request_read();
        monoio::select! {
            biased;
            () = work.finished() => {}
            () = self.reader.closed() => return Err(HeadError::Closed.into()),
        }
        self.answer(work, method).await
    }

    async fn answer(&mut self, work: &Work, method: &Method) -> Served {
        let order = work.order();
        let bytes = match *method {
            Method::HEAD => 0,
            _ => order.answer_bytes,
        };
        let framing = match bytes {
            _ if order.answer_chunked && *method != Method::HEAD => Framing::Chunked,
            0 => Framing::Empty,
            bytes => Framing::Length(bytes),
        };
        self.answer_head(self.vm.load(), framing);
        let mut left = match work.mode() {
            Mode::Cut => bytes / 2,
            _ => bytes,
        };
        for mut piece in AnswerBody::new(&order.request, bytes) {
            piece.truncate(usize::try_from(left).unwrap_or(usize::MAX));
            left -= piece.len() as u64;
            if !piece.is_empty() {
                self.writer.write_body_piece(framing, piece).await?;
            }
            if self.writer.buffer().len() > MAX_UNSENT_BYTES {
                self.writer.flush().await?;
            }
        }
        match work.mode() {
            Mode::Cut => self.cut().await,
            _ => self.end_body(framing).await,
        }
    }

    /// Sends the request's body back while it arrives.
    async fn echo(&mut self, work: &mut Work, framing: Framing, mut body: BodyReader) -> Served {
        // The request's own slot is not counted.
        self.answer_head(self.vm.load().saturating_sub(1), framing);
        self.writer.flush().await?;
        while let Some(piece) = body.next(&mut self.reader).await? {
            match work.mode() {
                Mode::Cut => return self.cut().await,
                // The last byte leaves after the work has ended.
                _ if body.is_done() => finish(work).await,
                _ => {}
            }
            self.writer.write_body_piece(framing, piece).await?;
            self.writer.flush().await?;
        }
        finish(work).await;
        match work.mode() {
            Mode::Cut => self.cut().await,
            _ => self.end_body(framing).await,
        }
    }

    fn answer_head(&mut self, load: u32, framing: Framing) {
        let load = (VF_LOAD, HeaderValue::from(load));
        let headers = std::iter::once((&load.0, &load.1));
        encode_response_head(self.writer.buffer(), StatusCode::OK, headers, framing);
    }

    async fn end_body(&mut self, framing: Framing) -> Served {
        self.writer.write_body_end(framing);
        Ok(self.writer.flush().await?)
    }

    /// Sends what there is, but for the last byte, and closes.
    async fn cut(&mut self) -> Served {
        let buffer = self.writer.buffer();
        buffer.truncate(buffer.len().saturating_sub(1));
        self.writer.flush().await?;
        Err(ConnectionError::OnPurpose)
    }

    async fn pass_over(&mut self, body: &mut BodyReader) -> Served {
        while body.next(&mut self.reader).await?.is_some() {}
        Ok(())
    }
}

async fn finish(work: &mut Work) {
    work.request_read();
    work.finished().await;
}
