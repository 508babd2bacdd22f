//! The load generator: sends requests as callers would, checks each answer and prints a JSON summary.

use std::io;
use std::path::{Path, PathBuf};

use bpaf::{Parser, construct, long};
use vanillafold_standin::load::{
    Burst, CallerKey, Distribution, LoadModel, LoadOptions, LoadStandin, QueueWeight, Target, Work,
};
use vanillafold_standin::process::run;
use vanillafold_standin::trace::{ProcessName, TraceWriter};
use vanillafold_types::Millis;

const MS_PER_S: f64 = 1_000.0;

#[derive(Debug)]
struct Arguments {
    process: ProcessName,
    seed: u64,
    direct: bool,
    targets: Vec<Target>,
    model: LoadModel,
    seconds: f64,
    queues: Vec<QueueWeight>,
    keys: Vec<CallerKey>,
    key_file: Option<PathBuf>,
    work: Work,
    repeat_lost: bool,
    trace: Option<PathBuf>,
}

fn arguments() -> bpaf::OptionParser<Arguments> {
    let process = long("process")
        .help("name in traces; request ids begin with it")
        .argument::<ProcessName>("NAME")
        .fallback(ProcessName::from("load"));
    let seed = long("seed")
        .help("seed of everything that varies")
        .argument::<u64>("N")
        .fallback(1);
    let direct = long("direct")
        .help("the targets are runners, not daemons")
        .switch();
    let targets = long("to")
        .help("where to send; may be repeated")
        .argument::<Target>("[NAME=]IP:PORT")
        .some("name at least one target with --to");
    let model = construct!([closed(), open()]);
    let seconds = long("seconds")
        .help("for how long to send")
        .argument::<f64>("S")
        .fallback(10.0);
    let queues = long("queue")
        .help("a queue to send to; may be repeated")
        .argument::<QueueWeight>("QUEUE[*WEIGHT]")
        .some("name at least one queue with --queue");
    let keys = long("key")
        .help("a key to send with; may be repeated")
        .argument::<CallerKey>("[TEAM=]KEY[*WEIGHT]")
        .many();
    let key_file = long("keys")
        .help("file with a key a line, as --key takes them")
        .argument::<PathBuf>("FILE")
        .optional();
    let work = work();
    let repeat_lost = long("repeat-lost")
        .help("send non-idempotent requests once more after a lost answer")
        .switch();
    let trace = long("trace")
        .help("directory to write the trace to")
        .argument::<PathBuf>("DIR")
        .optional();
    construct!(Arguments {
        process,
        seed,
        direct,
        targets,
        model,
        seconds,
        queues,
        keys,
        key_file,
        work,
        repeat_lost,
        trace
    })
    .to_options()
    .descr("Callers that check each answer; prints a JSON summary")
}

fn closed() -> impl Parser<LoadModel> {
    long("closed")
        .help("send back to back over this many connections")
        .argument::<usize>("N")
        .map(|connections| LoadModel::ClosedLoop { connections })
}

fn open() -> impl Parser<LoadModel> {
    let rate_per_s = long("rate")
        .help("requests a second over all queues")
        .argument::<f64>("N")
        .guard(
            |rate| rate.is_finite() && *rate > 0.0,
            "expected a rate above 0",
        )
        .fallback(100.0);
    let bursts = long("burst")
        .help("a time of another rate; may be repeated")
        .argument::<Burst>("[QUEUE:]FACTOR@START_MS+LENGTH_MS")
        .many();
    let connections = long("connections")
        .help("the most connections; requests beyond them wait")
        .argument::<usize>("N")
        .fallback(256);
    construct!(LoadModel::OpenLoop {
        rate_per_s,
        bursts,
        connections
    })
}

fn work() -> impl Parser<Work> {
    let default = Work::default();
    let work_ms = distribution("work-ms", "how long a slot is held", default.work_ms);
    let body_bytes = distribution("body-bytes", "size of request bodies", default.body_bytes);
    let answer_bytes = distribution("answer-bytes", "size of answers", default.answer_bytes);
    let chunked = long("chunked")
        .help("bodies and answers come in chunks")
        .switch();
    let echo_share = share(
        "echo-share",
        "requests whose body comes back",
        default.echo_share,
    );
    let idempotent_share = share(
        "idempotent-share",
        "idempotent requests",
        default.idempotent_share,
    );
    let deadline_ms = long("deadline-ms")
        .help("how long callers wait")
        .argument::<Millis>("MS")
        .fallback(default.deadline_ms);
    let grace_ms = long("grace-ms")
        .help("how much longer to wait before an answer counts as lost")
        .argument::<Millis>("MS")
        .fallback(default.grace_ms);
    construct!(Work {
        work_ms,
        body_bytes,
        answer_bytes,
        chunked,
        echo_share,
        idempotent_share,
        deadline_ms,
        grace_ms
    })
}

fn distribution(
    name: &'static str,
    help: &'static str,
    default: Distribution,
) -> impl Parser<Distribution> {
    long(name)
        .help(help)
        .argument::<Distribution>("N|FIRST..LAST|exp:MEAN")
        .fallback(default)
}

fn share(name: &'static str, help: &'static str, default: f64) -> impl Parser<f64> {
    long(name)
        .help(help)
        .argument::<f64>("0..1")
        .guard(
            |share| (0.0..=1.0).contains(share),
            "expected a share from 0 to 1",
        )
        .fallback(default)
}

fn read_keys(path: &Path) -> io::Result<Vec<CallerKey>> {
    let text = std::fs::read_to_string(path)?;
    text.lines()
        .filter(|line| !line.trim().is_empty())
        .map(|line| line.trim().parse().map_err(io::Error::other))
        .collect()
}

impl Arguments {
    fn into_options(self) -> io::Result<LoadOptions> {
        let trace = self
            .trace
            .map(|dir| TraceWriter::create(&dir, &self.process))
            .transpose()
            .map_err(io::Error::other)?;
        let mut keys = self.keys;
        if let Some(path) = &self.key_file {
            keys.extend(read_keys(path)?);
        }
        Ok(LoadOptions {
            process: self.process,
            seed: self.seed,
            targets: self.targets,
            direct: self.direct,
            model: self.model,
            duration_ms: Millis::new((self.seconds * MS_PER_S) as u64),
            queues: self.queues,
            keys,
            work: self.work,
            repeat_lost: self.repeat_lost,
            trace,
        })
    }
}

fn main() -> io::Result<()> {
    let options = arguments().run().into_options()?;
    let summary = run(async move { Ok(LoadStandin::new(options)?.run().await) })?;
    println!("{}", serde_json::to_string_pretty(&summary)?);
    Ok(())
}
