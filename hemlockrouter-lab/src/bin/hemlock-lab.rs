//! The command-line interface of the lab: it starts simulated servers, generates load or runs
//! experiments. The implementation is in the library.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::thread;

use eyre::bail;
use eyre::eyre;
use eyre::WrapErr;
use hemlockrouter_lab::experiment;
use hemlockrouter_lab::experiment::Deployment;
use hemlockrouter_lab::experiment::ExperimentOptions;
use hemlockrouter_lab::experiment::Policy;
use hemlockrouter_lab::experiment::Scenario;
use hemlockrouter_lab::link::LinkCondition;
use hemlockrouter_lab::link::TcpRelay;
use hemlockrouter_lab::load::LoadGenerator;
use hemlockrouter_lab::load::LoadOptions;
use hemlockrouter_lab::ports::PortBlock;
use hemlockrouter_lab::store::SimulatedStore;
use hemlockrouter_lab::store::StoreFaults;
use hemlockrouter_lab::store::StoreOptions;
use hemlockrouter_lab::upstream::SimulatedUpstream;
use hemlockrouter_lab::upstream::UpstreamBehaviour;
use hemlockrouter_lab::upstream::UpstreamSpec;
use lexopt::prelude::*;
use lexopt::Parser;

const HELP: &str = "\
Simulated platform and upstreams, a load generator, and experiments.

Usage: hemlock-lab COMMAND [OPTIONS]

Commands:
  store     Key-value store and instance list
            --listen ADDR [--list-lag-ms N]
            PUT /lab/faults, GET and DELETE /lab/counts
  upstream  One upstream, or several from a JSON file
            --listen ADDR --name NAME [--slots N] [--cold-slots N] [--connections N]
            [--connect-ms N] [--serve-ms N] [--cold-ms N] [--seed N] [--warm]
            --file FILE: [{\"name\", \"listen\", ...}]
            PUT /lab/control, GET /lab/counts
  link      A TCP relay that can be cut, delayed or left half open
            --listen ADDR --to ADDR --control ADDR [--delay-ms N]
            PUT /lab/link, GET /lab/counts on the control address
  load      Open-loop load that checks every answer; exits with 1 if an answer violates a
            guarantee or a request is lost
            --target ADDR[,ADDR...] --key-env NAME --search NAME [--run OPERATION]
            [--runs-per-mille N] [--rate N] [--seconds N] [--seed N] [--deadline-ms N]
            [--threads N] [--operators ADDR[,ADDR...]] [--new-connections] [--json]
            With --operators, one for each target, only ready instances get requests
  ports     Free ports on the loopback interface, kept for the caller until it is stopped
            --count N
  experiment
            The tier's decisions in virtual time, beside baselines, as a table
            [--deployment NAME] [--scenario NAME] [--policy NAME] [--seed N] [--seconds N] [--json]
            Without --deployment, --scenario or --policy, all of them are run
  --help    This text

Each simulated server prints the addresses that it listens on, one a line, and runs until it is stopped.
";

fn main() -> eyre::Result<()> {
    env_logger::init();
    let mut args = Parser::from_env();
    match args.next()? {
        Some(Value(command)) => match command.string()?.as_str() {
            "store" => run_store(args),
            "upstream" => run_upstreams(args),
            "link" => run_link(args),
            "load" => run_load(args),
            "ports" => run_ports(args),
            "experiment" => run_experiments(args),
            other => bail!("unknown command {other:?}; see hemlock-lab --help"),
        },
        Some(Short('h') | Long("help")) => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(other.unexpected().into()),
        None => bail!("a command is needed; see hemlock-lab --help"),
    }
}

fn run_store(mut args: Parser) -> eyre::Result<()> {
    let mut listen = None;
    let mut faults = StoreFaults::default();
    while let Some(arg) = args.next()? {
        match arg {
            Long("listen") => listen = Some(args.value()?.parse()?),
            Long("list-lag-ms") => faults.list_lag_ms = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let listen = require_option(listen, "--listen")?;
    let store = SimulatedStore::start(StoreOptions { listen, faults })?;
    println!("store {}", store.addr());
    run_until_stopped()
}

fn run_upstreams(mut args: Parser) -> eyre::Result<()> {
    let mut file = None;
    let mut spec = UpstreamSpec::new("", SocketAddr::from(([127, 0, 0, 1], 0)));
    while let Some(arg) = args.next()? {
        match arg {
            Long("file") => file = Some(args.value()?.string()?),
            Long("listen") => spec.listen = args.value()?.parse()?,
            Long("name") => spec.name = args.value()?.string()?,
            Long("slots") => spec.slots = args.value()?.parse()?,
            Long("cold-slots") => spec.cold_slots = args.value()?.parse()?,
            Long("connections") => spec.connections = args.value()?.parse()?,
            Long("connect-ms") => spec.connect_ms = args.value()?.parse()?,
            Long("serve-ms") => spec.serve_ms = args.value()?.parse()?,
            Long("cold-ms") => spec.cold_ms = args.value()?.parse()?,
            Long("seed") => spec.seed = args.value()?.parse()?,
            Long("warm") => spec.warm = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let specs = match file {
        Some(file) => {
            let text = fs::read_to_string(&file).wrap_err_with(|| format!("can't read {file}"))?;
            serde_json::from_str(&text).wrap_err_with(|| format!("can't parse {file}"))?
        }
        None if spec.name.is_empty() => bail!("--name or --file is needed"),
        None => vec![spec],
    };
    let upstreams = SimulatedUpstream::start_all(&specs, &UpstreamBehaviour::default())?;
    for upstream in &upstreams {
        println!("{} {}", upstream.name(), upstream.addr());
    }
    run_until_stopped()
}

fn run_link(mut args: Parser) -> eyre::Result<()> {
    let (mut listen, mut to, mut control) = (None, None, None);
    let mut condition = LinkCondition::default();
    while let Some(arg) = args.next()? {
        match arg {
            Long("listen") => listen = Some(args.value()?.parse()?),
            Long("to") => to = Some(args.value()?.parse()?),
            Long("control") => control = Some(args.value()?.parse()?),
            Long("delay-ms") => condition.delay_ms = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let link = TcpRelay::start(
        require_option(listen, "--listen")?,
        require_option(to, "--to")?,
        condition,
    )?;
    let control = link.serve_control(require_option(control, "--control")?)?;
    println!("link {}", link.addr());
    println!("control {}", control.addr());
    run_until_stopped()
}

fn run_load(mut args: Parser) -> eyre::Result<()> {
    let mut options = LoadOptions::new(Vec::new(), "");
    let mut json = false;
    while let Some(arg) = args.next()? {
        match arg {
            Long("target") => options.targets = parse_addresses(&mut args)?,
            Long("operators") => options.operators = parse_addresses(&mut args)?,
            Long("key-env") => {
                let name = args.value()?.string()?;
                options.key = env::var(&name).wrap_err_with(|| format!("no key in {name}"))?;
            }
            Long("search") => options.search = Some(args.value()?.string()?),
            Long("run") => options.operation = Some(args.value()?.string()?),
            Long("runs-per-mille") => options.runs_per_mille = args.value()?.parse()?,
            Long("rate") => options.rate = args.value()?.parse()?,
            Long("seconds") => options.duration_ms = 1_000 * args.value()?.parse::<u64>()?,
            Long("seed") => options.seed = args.value()?.parse()?,
            Long("deadline-ms") => options.deadline_ms = args.value()?.parse()?,
            Long("threads") => options.threads = args.value()?.parse()?,
            Long("new-connections") => options.keep_alive = false,
            Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    if options.targets.is_empty() {
        bail!("--target is needed");
    }
    if !options.operators.is_empty() && options.operators.len() != options.targets.len() {
        bail!("--operators needs one address for each target");
    }
    if options.search.is_none() && options.operation.is_none() {
        bail!("--search or --run is needed");
    }
    let mut report = LoadGenerator::start(options).wait_for_report();
    let guarantees_kept = report.faults.is_empty() && report.lost == 0;
    if json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        report.runs.clear();
        println!("{}", serde_json::to_string_pretty(&report)?);
    }
    if guarantees_kept {
        return Ok(());
    }
    bail!(
        "{} lost, violated guarantees: {:?}",
        report.lost,
        report.faults
    )
}

fn parse_addresses(args: &mut Parser) -> eyre::Result<Vec<SocketAddr>> {
    let text = args.value()?.string()?;
    let parsed = text.split(',').map(str::parse).collect::<Result<_, _>>();
    parsed.wrap_err_with(|| format!("{text:?} is not a list of addresses"))
}

fn run_experiments(mut args: Parser) -> eyre::Result<()> {
    let mut deployments = Deployment::ALL.to_vec();
    let mut scenarios = Scenario::ALL.to_vec();
    let mut policies = Policy::ALL.to_vec();
    let (mut seed, mut seconds, mut json) = (1, None, false);
    while let Some(arg) = args.next()? {
        match arg {
            Long("deployment") => deployments = vec![parse_name(&mut args, &Deployment::ALL)?],
            Long("scenario") => scenarios = vec![parse_name(&mut args, &Scenario::ALL)?],
            Long("policy") => policies = vec![parse_name(&mut args, &Policy::ALL)?],
            Long("seed") => seed = args.value()?.parse()?,
            Long("seconds") => seconds = Some(args.value()?.parse()?),
            Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let mut reports = Vec::new();
    for deployment in deployments {
        for &scenario in &scenarios {
            for &policy in &policies {
                let options = ExperimentOptions::new(deployment, scenario, policy).seed(seed);
                let options = match seconds {
                    Some(seconds) => options.seconds(seconds),
                    None => options,
                };
                reports.push(experiment::run(options));
            }
        }
    }
    match json {
        true => println!("{}", serde_json::to_string_pretty(&reports)?),
        false => print!("{}", experiment::table(&reports)),
    }
    Ok(())
}

/// Parses an option's value as the name of one of the values in `all`.
fn parse_name<T>(args: &mut Parser, all: &[T]) -> eyre::Result<T>
where
    T: Copy + ToString,
{
    let name = args.value()?.string()?;
    let found = all.iter().find(|one| one.to_string() == name);
    let names: Vec<String> = all.iter().map(T::to_string).collect();
    found.copied().ok_or_else(|| {
        eyre!(
            "unknown name {name:?}; expected one of {}",
            names.join(", ")
        )
    })
}

fn run_ports(mut args: Parser) -> eyre::Result<()> {
    let mut count = 1;
    while let Some(arg) = args.next()? {
        match arg {
            Long("count") => count = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let mut block = PortBlock::reserve()?;
    for _ in 0..count {
        println!("{}", block.next_free_addr());
    }
    run_until_stopped()
}

fn require_option<T>(value: Option<T>, option: &str) -> eyre::Result<T> {
    value.ok_or_else(|| eyre::eyre!("{option} is needed"))
}

fn run_until_stopped() -> ! {
    loop {
        thread::park();
    }
}
